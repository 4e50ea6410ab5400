#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec bash ../stand-ins-2/run-case.sh RefusedAfterRun "$PWD/record.txt"
