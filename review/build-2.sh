#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case-2.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-restrict -pthread -Ireview/standins-2 "$source" -o "build/review-2/case-$name"
done
