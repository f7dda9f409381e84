#!/usr/bin/env bash
# Compares the resident memory and the start-up time of several builds of the program, run in turn with
# examples/config.json and without an operator's file:
#   bench/footprint.sh ROUNDS PROGRAM...
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=$1
shift
for round in $(seq "$rounds"); do
    for program in "$@"; do
        start=$(date +%s%N)
        NODE_CONFIG=examples/config.json "$program" >/dev/null 2>&1 &
        pid=$!
        until curl -sf http://127.0.0.1:8443/healthz >/dev/null; do sleep 0.002; done
        ready=$(date +%s%N)
        awk -v p="$program" -v ms="$(((ready - start) / 1000))" \
            '/VmRSS/ {rss = $2} /RssAnon/ {anon = $2} END {printf "%-28s resident %6d kB, anonymous %6d kB, ready after %.1f ms\n", p, rss, anon, ms / 1000}' \
            "/proc/$pid/status"
        kill "$pid"
        wait "$pid" || true
    done
done
