#!/usr/bin/env bash
# Runs tarragon-burn against one entry and fake endpoints on loopback. The load is streams and slot
# lookups; the engines are slow for a third of the run, and the entry is restarted once.
# usage: [BURN_PORT=21900] burn_run.sh <build> <folder for the reports> [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  sed -n 's/^# \(usage\)/\1/p' "$0" >&2
  exit 2
fi
build=$1 reports=$2 time=${3:-48}
port=${BURN_PORT:-21900}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

wait_for() { for _ in $(seq 200); do curl -fs -o /dev/null "$1" && return 0; sleep 0.05; done; echo "no answer from $1" >&2; return 1; }

mkdir -p "$reports" "$work/document"
cp examples/document/lanhai/{models,classes}.toml "$work/document/"
cat >"$work/document/accounts.toml" <<T
[[account]]
name = "burn"
token_sha256 = "$(printf burn-token | sha256sum | cut -d' ' -f1)"
T
cat >"$work/document/services.toml" <<T
[[service]]
name = "drafter"
kind = "model"
model = "drafter"
default_class = "report"

[[service]]
name = "booking-api"
kind = "plain"
default_class = "lookup"
T
{
  for i in 1 2; do
    printf '[[endpoint]]\nname = "drafter-0%s"\naddress = "127.0.0.1:%s"\nservice = "drafter"\nfailure_domain = "a"\n' "$i" $((port + 10 + i))
  done
  printf '[[endpoint]]\nname = "booking-01"\naddress = "127.0.0.1:%s"\nservice = "booking-api"\nfailure_domain = "a"\n' $((port + 20))
  printf '[[vm]]\nname = "entry-1"\n'
} >"$work/document/fleet.toml"
: >"$work/document/drill.toml"
cat >"$work/entry.toml" <<T
[vm]
name = "entry-1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:$port"
[document]
directory = "$work/document"
[tickets]
key = "0123456789abcdef0123456789abcdef"
T

start_entry() {
  "$build/bin/tarragon-entry" --settings "$work/entry.toml" 2>>"$work/entry.log" & entry=$!
  pids+=("$entry")
  wait_for "http://127.0.0.1:$port/readyz"
}
for i in 1 2; do
  "$build/bin/fake_endpoint" --listen "127.0.0.1:$((port + 10 + i))" --name "drafter-0$i" \
    --seed "$i" 2>>"$work/endpoint.log" & pids+=($!)
  wait_for "http://127.0.0.1:$((port + 10 + i))/v1/load"
done
"$build/bin/fake_endpoint" --listen "127.0.0.1:$((port + 20))" --name booking-01 --kind plain \
  --seed 3 2>>"$work/endpoint.log" & pids+=($!)
wait_for "http://127.0.0.1:$((port + 20))/load"
start_entry

# send_requests <curl flags...>: sends requests until the run ends. A request fails if the entry is
# being restarted.
end=$((SECONDS + time))
send_requests() {
  while [ $SECONDS -lt $end ]; do
    curl -s -m 20 -o /dev/null -H 'Authorization: Bearer burn-token' "$@" || sleep 0.1
  done
}
for _ in 1 2 3 4; do
  send_requests -X POST "http://127.0.0.1:$port/v1/completions" \
    -d '{"model":"drafter","prompt":"report on two hulls","max_tokens":40,"stream":true}' & pids+=($!)
done
send_requests "http://127.0.0.1:$port/services/booking-api/slots" & pids+=($!)

"$build/bin/tarragon-burn" --entries "127.0.0.1:$port" --duration "$time" --interval 2 \
  --save "$reports/samples.jsonl" --html "$reports/burn.html" >"$reports/burn.txt" & burn=$!
pids+=("$burn")
sleep $((time / 3))
for i in 1 2; do
  curl -fs -o /dev/null -X POST "http://127.0.0.1:$((port + 10 + i))/fault" \
    -d '{"kind":"slow","factor":5}' || echo "cannot make engine $i slow" >&2
done
sleep $((time / 6))
kill -TERM "$entry"
wait "$entry"
start_entry
sleep $((time / 6))
for i in 1 2; do
  curl -fs -o /dev/null -X POST "http://127.0.0.1:$((port + 10 + i))/fault" -d '{"kind":"none"}'
done
wait "$burn"
cat "$reports/burn.txt"
"$build/bin/tarragon-burn" --samples "$reports/samples.jsonl" --json >"$reports/burn.json"
