#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../stand-ins-2/target/SlowReaders.class ] || { echo "run review/build-2.sh first"; exit 2; }
root=$(cd ../.. && pwd)
timeout -k 3 115 java -Dportrelay.root="$root" -cp ../stand-ins-2/target SlowReaders record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
