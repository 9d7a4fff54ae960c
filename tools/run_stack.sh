#!/usr/bin/env bash
# Starts a stack of stand-ins on loopback for local use. Each process writes <folder>/<name>.log and
# has its id in <folder>/<name>.pid; tools/stop_stack.sh ends them.
# usage: [BASE_PORT=21000] run_stack.sh <build> <folder> [entries] [engines] [plain]
#   e.g. tools/run_stack.sh build /tmp/stack 0 3 1
# Ports: platform BASE_PORT, engines from BASE_PORT+100, plain services from BASE_PORT+200.
# Flags for all engines or plain services: ENGINE_FLAGS, PLAIN_FLAGS. For the platform: PLATFORM_FLAGS.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n 's/^# \(usage\|  e.g\)/\1/p' "$0" >&2
  exit 2
fi
build=$1 folder=$2 entries=${3:-0} engines=${4:-12} plain=${5:-3}
base=${BASE_PORT:-21000}
domains=(fd-a fd-b fd-c)
platform=127.0.0.1:$base

if [ "$entries" -gt 0 ]; then
  echo "run_stack.sh: entries are not started by this version; pass 0" >&2
  exit 2
fi
mkdir -p "$folder"
if compgen -G "$folder/*.pid" >/dev/null; then
  echo "run_stack.sh: $folder already holds a stack; run tools/stop_stack.sh $folder first" >&2
  exit 1
fi

# start <name> <program> <flags...>
start() {
  local name=$1 program=$2
  shift 2
  "$build/bin/$program" "$@" </dev/null >"$folder/$name.log" 2>&1 &
  echo $! >"$folder/$name.pid"
}

# wait_ready <url>
wait_ready() {
  for _ in $(seq 100); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "run_stack.sh: no answer from $1 within 5 s" >&2
  return 1
}

# list_vm <id> <address> <failure domain>
list_vm() {
  curl -sf -o /dev/null -X PUT "http://$platform/vms/$1" \
    -d "{\"address\":\"$2\",\"failure_domain\":\"$3\",\"state\":\"live\"}"
}

start platform fake_platform --listen "$platform" ${PLATFORM_FLAGS:-}
wait_ready "http://$platform/stats"
for ((i = 0; i < engines; i++)); do
  start "engine-$i" fake_endpoint --listen "127.0.0.1:$((base + 100 + i))" --name "engine-$i" \
    --seed $((i + 1)) --weights_url "http://$platform" ${ENGINE_FLAGS:-}
done
for ((i = 0; i < plain; i++)); do
  start "plain-$i" fake_endpoint --listen "127.0.0.1:$((base + 200 + i))" --name "plain-$i" \
    --kind plain --seed $((i + 1)) ${PLAIN_FLAGS:-}
done
for ((i = 0; i < engines; i++)); do
  wait_ready "http://127.0.0.1:$((base + 100 + i))/load"
  list_vm "engine-$i" "127.0.0.1:$((base + 100 + i))" "${domains[i % 3]}"
done
for ((i = 0; i < plain; i++)); do
  wait_ready "http://127.0.0.1:$((base + 200 + i))/load"
  list_vm "plain-$i" "127.0.0.1:$((base + 200 + i))" "${domains[i % 3]}"
done
echo "platform=$platform engines=$engines plain=$plain folder=$folder"
