#!/usr/bin/env bash
# Installs the built library into a temporary folder, builds the separate project against it and runs it:
#   run.sh BUILD_FOLDER PROJECT_FOLDER
set -euo pipefail
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cmake --install "$1" --prefix "$scratch/prefix" >/dev/null
cmake -S "$2" -B "$scratch/build" -DCMAKE_PREFIX_PATH="$scratch/prefix" >/dev/null
cmake --build "$scratch/build" >/dev/null
"$scratch/build/outside"
