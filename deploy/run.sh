#!/bin/sh
# Starts one sidecar with the heap that its memory limit leaves room for. Uses shell builtins only: an environment that
# runs sidecars in lockstep refuses forks, and `$(...)` and pipes fork. Besides the heap, the JVM was measured to take
# 40 to 45 MB (class data, code, direct buffers, stacks); see docs/design.md, "Running".
set -eu
case $0 in */*) cd "${0%/*}/.." ;; *) cd .. ;; esac

# Sets memory to the number after "memory_mb", wherever the file has line breaks, or to nothing if there is none. The
# text is first split at braces and commas, because a shell pattern takes 10 s to find a word at the end of 60 KB.
memory=
if [ -f "${LB_CONFIG:-}" ] && [ -r "$LB_CONFIG" ]; then
    cut='{},'
    key=
    while IFS= read -r line || [ -n "$line" ]; do
        set -f
        IFS=$cut
        for field in $line; do
            case $field in *'"memory_mb"'*) key=yes; field=${field#*'"memory_mb"'} ;; esac
            [ "$key" ] || continue
            field=${field#"${field%%[!	 :]*}"}
            case $field in
            [0-9]*) memory=${field%%[!0-9]*}; break 2 ;;
            ''|[!0-9]) ;;
            *) break 2 ;;
            esac
        done
    done < "$LB_CONFIG"
fi
memory=${memory#"${memory%%[!0]*}"}    # strips leading zeros: 08 is an invalid octal number and would abort the start
case $memory in '') memory=160 ;; ???????*) memory=999999 ;; esac

heap=$((memory - 60))
[ "$heap" -ge 32 ] || heap=32
[ "$heap" -le 128 ] || heap=128
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    "-Xmx${heap}m" -Xss512k -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=16m -XX:SharedArchiveFile=daemon/target/portrelay.jsa \
    -jar daemon/target/portrelay.jar serve
