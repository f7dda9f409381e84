#!/usr/bin/env bash
# Checks the exit codes: 0 at end of input; non-zero for a malformed line, with one line on standard error that
# names the batch and the field.
set -u
benchlink=$1
printf '{"round":1,"ClockMs":5,"inbox":[]}\n' | "$benchlink" >/dev/null || { echo "end of input: exit not 0"; exit 1; }
if message=$(printf '{"round":7,"inbox":[]}\n' | "$benchlink" 2>&1 >/dev/null); then echo "missing clock accepted"; exit 1; fi
[ "$message" = "limedrum_benchlink: batch 7: ClockMs: missing" ] || { echo "unexpected message: $message"; exit 1; }
