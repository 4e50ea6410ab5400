#!/usr/bin/env bash
# Starts one sidecar with the heap that its memory limit leaves room for. Uses shell builtins only: an environment that
# runs sidecars in lockstep refuses forks, and `$(...)` and pipes fork. Needs bash, which reads a file by the buffer; sh
# makes a system call for each byte. Besides the heap, the JVM was measured to take 40 to 45 MB (class data, code, direct
# buffers, stacks); see docs/design.md, "Running".
[ "${BASH_VERSION:-}" ] || exec bash "$0"    # started by sh
set -eu
case $0 in */*) cd "${0%/*}/.." ;; *) cd .. ;; esac

# Sets memory to the number after "memory_mb", wherever the file has line breaks, or to nothing if there is none.
read_memory_limit() {
    local LC_ALL=C    # bytes, not characters: much faster, and any file can be read
    local text=
    memory=
    if [ -f "${LB_CONFIG:-}" ] && [ -r "$LB_CONFIG" ]; then
        IFS= read -r -d '' text < "$LB_CONFIG" || true
        if [[ $text =~ \"memory_mb\"[[:space:]]*:[[:space:]]*0*([0-9]+) ]]; then
            memory=${BASH_REMATCH[1]}
        fi
    fi
}

read_memory_limit
case $memory in '') memory=160 ;; ???????*) memory=999999 ;; esac

heap=$((memory - 60))
[ "$heap" -ge 32 ] || heap=32
[ "$heap" -le 128 ] || heap=128
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    -Xms32m -XX:MinHeapFreeRatio=20 "-Xmx${heap}m" -Xss512k -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=16m -XX:SharedArchiveFile=daemon/target/portrelay.jsa \
    -jar daemon/target/portrelay.jar serve
