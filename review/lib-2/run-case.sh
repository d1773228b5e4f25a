#!/usr/bin/env bash
# Runs the case N: lib-2/run-case.sh N TROUBLE, where TROUBLE is 0 to leave the disruption out, else 1. Exit code 0:
# the rule held, 1: it was broken, 2: the case could not run.
set -u
number=$1
trouble=$2
review=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
root=$(dirname "$review")
record=$review/$number/record.txt
program=$review/lib-2/bin/case$number
run=$(sed -n 's/^run = "\(.*\)"  *#.*/\1/p' "$root/deploy/balancer.toml")
if [[ ! -x $program || -z $run || ! -x $root/build/ivyreel ]]; then
    echo "build the deploy file's way and with review/build-2.sh first" | tee "$record" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 "$program" "$root" "$run" "$folder" "$record" "$trouble"
result=$?
if [[ ${KEEP_LOGS:-} != "" ]]; then mkdir -p "$KEEP_LOGS" && cp "$folder"/*.log "$KEEP_LOGS"/ 2>/dev/null; fi
tail -n 1 "$record"
((result == 0 || result == 1)) || result=2
exit "$result"
