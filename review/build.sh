#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into build/review/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Ireview/lib -o "build/review/case$number" "$source" -pthread
done
