#!/usr/bin/env bash
# End of input exits 0; a malformed line exits non-zero with one line on standard error naming batch and field.
set -u
link=$1
printf '{"round":1,"ClockMs":5,"inbox":[]}\n' | "$link" >/dev/null || { echo "end of input: exit not 0"; exit 1; }
if said=$(printf '{"round":7,"inbox":[]}\n' | "$link" 2>&1 >/dev/null); then echo "missing clock accepted"; exit 1; fi
[ "$said" = "limedrum_benchlink: batch 7: ClockMs: missing" ] || { echo "said: $said"; exit 1; }
