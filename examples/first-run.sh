#!/usr/bin/env bash
# Installs missing packages, builds, starts the scheduler with an example storage node from a node file, and sends a
# write and a read. The scheduler then serves until Ctrl-C; with --once the script ends after the two requests.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
for package in g++ cmake make pkg-config nlohmann-json3-dev libevent-dev libspdlog-dev libcli11-dev \
               protobuf-compiler libprotobuf-dev libssl-dev libxxhash-dev curl; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
build=${BUILD:-build-first}
cmake -B "$build" -DCMAKE_BUILD_TYPE=Release -DMARTENCOVE_OPERATOR=ON -DMARTENCOVE_EXAMPLES=ON >/dev/null
cmake --build "$build" -j"$(nproc)"

work=$(mktemp -d)
started=()
finish() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 0' INT TERM

cat > "$work/nodes.textproto" <<'END'
version: 1
node { name: "toy" dial: "127.0.0.1:9000" shard: 0 }
END
"$build/martencove" nodes seal "$work/nodes.textproto"
echo "nodes { path: \"$work/nodes.textproto\" }" > "$work/operator.textproto"

"$build/toy_node" 9000 &
started+=($!)
NODE_CONFIG=examples/config.json "$build/martencove" --operator "$work/operator.textproto" &
started+=($!)
until curl -sf http://127.0.0.1:8443/healthz >/dev/null; do sleep 0.1; done

headers=(-H 'Tier: standard' -H 'Req-Deadline-Ms: 2000' -H 'IO-Info: units=1,shard=0,hosts=1')
piece=00000003b4d60021/7f3a9c21e0b4d655
echo "writing:"
curl -sS -i -X PUT "http://127.0.0.1:8443/new-write/$piece" -d 'hello' -H 'Req-Id: 1' -H 'Idempotency-Key: 1' "${headers[@]}"
echo
echo "reading:"
curl -sS -i "http://127.0.0.1:8443/profile-read/$piece" -H 'Req-Id: 2' "${headers[@]}"
echo
"$build/martencove" nodes show 127.0.0.1:8443
[ "${1:-}" = --once ] && exit 0
echo "Serving on 127.0.0.1:8443 with the nodes of $work/nodes.textproto. Press Ctrl-C to stop."
wait
