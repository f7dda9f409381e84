#!/usr/bin/env bash
# Runs the case in the folder $1: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program="$root/build/review-2/case-$(basename "$case_folder")"
if [ ! -x "$program" ] || [ ! -x "$root/build/martencove" ]; then
    echo "cannot run: first the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
temporary=$(mktemp -d /tmp/case.XXXXXX) || exit 2
timeout -s KILL 115 "$program" "$root" "$run" "$case_folder" "$temporary"
result=$?
rm -rf "$temporary"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
