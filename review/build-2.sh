#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into lib-2/bin. Needs the C++ compiler only; the node comes from the
# deploy file's build. The stand-ins are part of each case's program, so no other program is started.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p lib-2/bin
for source in [6-9]/case.cpp 10/case.cpp; do
    [[ -e $source ]] || continue
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -o "lib-2/bin/case$(dirname "$source")" "$source" &
done
wait
