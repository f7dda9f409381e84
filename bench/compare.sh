#!/usr/bin/env bash
# Compares the CPU time of the decision module of an earlier commit with that of the working tree. Runs both in turn,
# so that changes of the machine's load affect both:
#   bench/compare.sh COMMIT [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$1
rounds=${2:-3}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
git archive "$commit" include src | tar -x -C "$folder"
build() {  # ROOT NAME
    local sources
    sources=$(find "$1/src" \( -path "*/limedrum/*.cpp" \))
    # shellcheck disable=SC2086
    g++ -std=c++20 -O3 -DNDEBUG -I"$1/include" bench/module.cpp $sources -o "$folder/$2" -lbenchmark -lpthread
}
build "$folder" before
build . now
for round in $(seq "$rounds"); do
    for name in before now; do
        echo "round $round, $name"
        "$folder/$name" --benchmark_format=csv 2>/dev/null | awk -F, 'NR > 1 {printf "  %-40s %8.2f us\n", $1, $4 / 1000}'
    done
done
