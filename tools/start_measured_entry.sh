# Sourced by scripts that measure a single entry: starts `endpoints` fake endpoints and an entry in
# front of them. Reads build, endpoints and step_us. Sets port, endpoint_list (comma-separated
# addresses), entry_pid and work (a folder that is removed at exit).
port=${MEASURE_PORT:-21930}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
mkdir "$work/document"
cat >"$work/document/models.toml" <<T
[[model]]
name = "drafter"
version = "1"
T
cat >"$work/document/accounts.toml" <<T
[[account]]
name = "load"
token_sha256 = "$(printf load-token | sha256sum | cut -d' ' -f1)"
T
cat >"$work/document/classes.toml" <<T
[[class]]
name = "lookup"
priority = 0
loss_policy = "restart"
default_deadline_ms = 600000
urgent = true
T
cat >"$work/document/services.toml" <<T
[[service]]
name = "drafter"
kind = "model"
model = "drafter"
default_class = "lookup"
T
: >"$work/document/drill.toml"
endpoint_list=
printf '[[vm]]\nname = "entry-1"\n' >"$work/document/fleet.toml"
for i in $(seq "$endpoints"); do
  address="127.0.0.1:$((port + i))"
  endpoint_list+="${endpoint_list:+,}$address"
  printf '[[endpoint]]\nname = "drafter-%02d"\naddress = "%s"\nservice = "drafter"\nfailure_domain = "a"\n' \
    "$i" "$address" >>"$work/document/fleet.toml"
  "$build/bin/fake_endpoint" --listen "$address" --name "drafter-$i" --slots 256 --kv_tokens 100000000 \
    --step_us "$step_us" --step_per_stream_us 0 --prefill_us 0 2>/dev/null & pids+=($!)
done
cat >"$work/entry.toml" <<T
[vm]
name = "entry-1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:$port"
[document]
directory = "$work/document"
[platform]
address = "127.0.0.1:1"
[tickets]
key = "0123456789abcdef0123456789abcdef"
T
"$build/bin/tarragon-entry" --settings "$work/entry.toml" 2>"$work/entry.log" & entry_pid=$!
pids+=("$entry_pid")
for _ in $(seq 100); do curl -fs "http://127.0.0.1:$port/readyz" >/dev/null && break; sleep 0.05; done
sleep 1
