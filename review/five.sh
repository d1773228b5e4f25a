#!/bin/sh
# Runs a case five times with the disruption and five times without it, and prints the exit codes.
here=$(cd "$(dirname "$0")" && pwd)
for trouble in 1 0; do
    codes=
    for i in 1 2 3 4 5; do
        TROUBLE=$trouble "$here/$1/run.sh" >/dev/null
        codes="$codes $?"
    done
    echo "case $1, TROUBLE=$trouble: exit codes$codes"
done
