# Runs one case; sourced by review/N/run.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
set -u
case_folder=$(dirname "$(readlink -f "$0")")
number=$(basename "$case_folder")
cd "$case_folder/../.." || exit 2
driver=build/review/case$number
if [ ! -x "$driver" ]; then
    echo "missing: $driver (review/build.sh)" >&2
    exit 2
fi
RUN_COMMAND=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
export TROUBLE="${TROUBLE:-1}"
folder=$(mktemp -d) || exit 2
pid=
cleanup() {
    [ -z "$pid" ] || kill "$pid" 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
timeout -s KILL 115 "$driver" "review/$number" "$folder" &
pid=$!
wait "$pid"
status=$?
pid=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
