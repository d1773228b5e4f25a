#!/usr/bin/env bash
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 runs the same without the disruption.
trouble=${TROUBLE:-1}
exec "$(dirname "${BASH_SOURCE[0]}")/../lib-2/run-case.sh" 9 "$trouble"
