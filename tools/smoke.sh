#!/usr/bin/env bash
# End-to-end smoke test on loopback with one fake platform, one fake endpoint and one entry: a streamed
# answer, a refusal, and a shutdown that completes the open stream. Usage: tools/smoke.sh [build]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
port=${SMOKE_PORT:-21900}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

wait_for() { for _ in $(seq 100); do curl -fs "$1" >/dev/null && return 0; sleep 0.05; done; echo "no answer from $1" >&2; return 1; }

mkdir "$work/document"
cat >"$work/document/models.toml" <<T
[[model]]
name = "drafter"
version = "1"
T
cat >"$work/document/accounts.toml" <<T
[[account]]
name = "smoke"
token_sha256 = "$(printf smoke-token | sha256sum | cut -d' ' -f1)"
T
cat >"$work/document/classes.toml" <<T
[[class]]
name = "lookup"
priority = 0
loss_policy = "restart"
default_deadline_ms = 30000
urgent = true
T
cat >"$work/document/services.toml" <<T
[[service]]
name = "drafter"
kind = "model"
model = "drafter"
default_class = "lookup"
T
cat >"$work/document/fleet.toml" <<T
[[endpoint]]
name = "drafter-01"
address = "127.0.0.1:$((port + 1))"
service = "drafter"
failure_domain = "a"

[[vm]]
name = "entry-1"
T
: >"$work/document/drill.toml"
cat >"$work/entry.toml" <<T
[vm]
name = "entry-1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:$port"
[platform]
address = "127.0.0.1:$((port + 2))"
[document]
directory = "$work/document"
[tickets]
key = "0123456789abcdef0123456789abcdef"
T

"$build/bin/fake_platform" --listen "127.0.0.1:$((port + 2))" 2>"$work/platform.log" & pids+=($!)
"$build/bin/fake_endpoint" --listen "127.0.0.1:$((port + 1))" --name drafter-01 --seed 7 \
  2>"$work/endpoint.log" & pids+=($!)
"$build/bin/tarragon-entry" --settings "$work/entry.toml" 2>"$work/entry.log" & entry=$!
pids+=("$entry")
wait_for "http://127.0.0.1:$((port + 2))/vms"
wait_for "http://127.0.0.1:$((port + 1))/v1/load"
wait_for "http://127.0.0.1:$port/readyz"

call() { curl -sN -i -X POST "http://127.0.0.1:$port/v1/completions" -H "Authorization: Bearer $1" -d "$2"; }
echo "--- streamed answer"
call smoke-token '{"model":"drafter","prompt":"quote for two hulls","max_tokens":4,"stream":true}' | tee "$work/answer"
grep -q '^data: \[DONE\]' "$work/answer"
grep -q '"verdict":"ran"' "$work/answer"
echo "--- refusal"
call wrong '{"model":"drafter","prompt":"x"}' | tee "$work/refusal"
grep -qi '^run-verdict: not-run' "$work/refusal"
echo
echo "--- shutdown during a stream"
call smoke-token '{"model":"drafter","prompt":"report","max_tokens":60,"stream":true}' >"$work/long" & reader=$!
for _ in $(seq 100); do grep -q '^id: ' "$work/long" && break; sleep 0.02; done
kill -TERM "$entry"
wait "$reader"
grep -q '^data: \[DONE\]' "$work/long"
status=0; wait "$entry" || status=$?
echo "the stream completed; the entry exited with $status"
[ "$status" -eq 0 ]
echo "smoke: passed"
