#!/usr/bin/env bash
# Runs a case of review/build-2.sh: run-case.sh CLASS RECORD. Ends what the case has started, however the case ends.
case_class=$1
record=$2
cd "$(dirname "$0")" || exit 2
[ -f "target/$case_class.class" ] || { echo "run review/build-2.sh first"; exit 2; }
root=$(cd ../.. && pwd)
pids=$(mktemp) || exit 2
timeout -k 3 112 java -Dportrelay.root="$root" -Dportrelay.pids="$pids" -cp target "$case_class" "$record" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
case $code in
    0 | 1) ;;
    *)
        # The JVM ends its sidecars itself, unless it was killed.
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$pids"
        code=2
        ;;
esac
rm -f "$pids"
exit "$code"
