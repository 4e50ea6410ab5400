#!/bin/sh
# Starts one sidecar with as much heap as its memory limit leaves room for. What the JVM takes besides was
# measured at 40 to 45 MB (class data, code, direct buffers, stacks), docs/design.md, "Running".
set -eu
cd "$(dirname "$0")/.."
memory=$(sed -n 's/.*"memory_mb" *: *\([0-9]*\).*/\1/p' "${LB_CONFIG:-/dev/null}" | head -n 1)
heap=$((${memory:-160} - 60))
[ "$heap" -ge 32 ] || heap=32
[ "$heap" -le 128 ] || heap=128
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    "-Xmx${heap}m" -Xss512k -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=16m -XX:SharedArchiveFile=daemon/target/portrelay.jsa \
    -jar daemon/target/portrelay.jar serve
