#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f review/out/review/Case3.class ] || [ ! -f daemon/target/portrelay.jar ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
exec java -Xmx512m -XX:-UsePerfData -cp review/out review.Case3 . review/3
