#!/usr/bin/env bash
# Starts a simulated platform, simulated targets and three entry hosts in two failure domains
# on loopback, applies both example deployments, sends load and kills one host meanwhile.
# Then runs the demo of the platform host, with a simulated store and targets of that platform.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}
base=${DEMO_PORT:-18100}
logs=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 1
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

platform=127.0.0.1:$base
"$bin/standin-platform" --port "$base" --list-lag-ms 500 2>"$logs/platform.log" & pids+=($!)
sleep 0.5
speeds=(0.5 1.0 1.5 2.0)
number=0
for domain in couva chaguanas; do
  for pool in loom ballast; do
    for speed in "${speeds[@]}"; do
      number=$((number + 1))
      "$bin/standin-target" --id "t$number" --failure-domain "$domain" --pool "$pool" --platform "$platform" \
        --slots 8 --speed "$speed" --seed "$number" 2>"$logs/target$number.log" & pids+=($!)
    done
  done
done
hosts=()
start_host() {
  local index=$1 domain=$2
  "$bin/heathermoor-entry" --host "entry-$index" --failure-domain "$domain" --failure-domains couva,chaguanas \
    --platform "$platform" --http-port $((base + index * 3)) --admin-port $((base + index * 3 + 1)) \
    --peer-address "tcp://127.0.0.1:$((base + index * 3 + 2))" 2>"$logs/entry$index.log" & pids+=($!)
  disown $!
  hosts+=("127.0.0.1:$((base + index * 3))")
}
start_host 1 couva
start_host 2 couva
victim=${pids[-1]}
start_host 3 chaguanas
"$bin/heathermoorctl" validate examples/caroni examples/ballastwerk
"$bin/heathermoorctl" apply examples/caroni examples/ballastwerk --platform "$platform" --author demo --reason "first day"
status=0
"$bin/heathermoor-demo" --platform "$platform" --hosts "$(IFS=,; echo "${hosts[*]}")" --kill-pid "$victim" "$@" || status=$?
echo "logs: $logs"
echo "demo of the platform host:"
mkdir "$logs/platform"
"$bin/heathermoor-platform-demo" --program "$bin/heathermoor-platform" --logs "$logs/platform" || status=$?
exit $status
