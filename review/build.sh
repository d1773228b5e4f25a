#!/bin/sh
# Builds the program of each case, with its stand-ins, into review/bin. Needs the C++ compiler only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]*; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I common -o "bin/case$folder" "$folder/case.cpp"
done
