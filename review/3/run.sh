#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run or was interrupted. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f review/out/review/Case3.class ] || [ ! -f daemon/target/portrelay.jar ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
java -Xmx512m -XX:-UsePerfData -cp review/out review.Case3 . review/3 &
case=$!
trap 'kill "$case"; wait "$case"; exit 2' INT TERM HUP
wait "$case"
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
