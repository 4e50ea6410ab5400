#!/usr/bin/env bash
# Starts one sidecar with as much heap as its memory limit leaves room for, by the shell's builtins alone: where
# sidecars run in step, a fork is refused, and a `$(...)` or a pipe is one. What the JVM takes besides the heap was
# measured at 40 to 45 MB (class data, code, direct buffers, stacks), docs/design.md, "Running".
#
# bash, as it reads a file by the buffer: sh reads by the byte, and the 50,000 reads of a large list's configuration
# took a sidecar among a hundred over 20 s on a busy machine.
[ -n "${BASH_VERSION:-}" ] || exec bash "$0" "$@"
set -eu
case $0 in */*) cd "${0%/*}/.." ;; *) cd .. ;; esac

# The number after "memory_mb", wherever the file breaks its lines; nothing where there is none.
memory=
if [ -f "${LB_CONFIG:-}" ] && [ -r "$LB_CONFIG" ]; then
    IFS= read -r -d '' text < "$LB_CONFIG" || true
    if [[ $text =~ \"memory_mb\"[[:space:]]*:[[:space:]]*0*([0-9]+) ]]; then
        memory=${BASH_REMATCH[1]}
    fi
fi
case $memory in '') memory=160 ;; ???????*) memory=999999 ;; esac

heap=$((memory - 60))
[ "$heap" -ge 32 ] || heap=32
[ "$heap" -le 128 ] || heap=128
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    "-Xmx${heap}m" -Xss512k -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=16m -XX:SharedArchiveFile=daemon/target/portrelay.jsa \
    -jar daemon/target/portrelay.jar serve
