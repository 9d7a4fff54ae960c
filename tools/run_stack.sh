#!/usr/bin/env bash
# Starts a stack on loopback for local use: a fake platform, fake endpoints, entries and controls. Each
# process writes <folder>/<name>.log; its process id is in <folder>/<name>.pid and its command line in
# <folder>/<name>.cmd. tools/stop_stack.sh stops the processes.
# usage: [BASE_PORT=21000] run_stack.sh <build> <folder> [entries] [engines] [plain] [controls]
#   e.g. tools/run_stack.sh build /tmp/stack 8 12 3 2
# Ports: platform BASE_PORT, engines from BASE_PORT+100, plain services from BASE_PORT+200, entries
# from BASE_PORT+300 for callers and from BASE_PORT+400 for peers, controls from BASE_PORT+500.
# Operators use the token `ops-token` of team ops, which may edit all sections.
# DOCUMENT_SOURCE: directory (default), or platform: entries start without a document and become
# ready after `tarragonctl init <folder>/document`, which this script does not run.
# LEASE_TERM_MS (default 6000): lease term of the controls; a lease is renewed three times per term.
# ENGINE_FLAGS, PLAIN_FLAGS, PLATFORM_FLAGS: flags of all engines, all plain services, the platform.
# DOCUMENT: directory of the operating document (default examples/document/lanhai); the fleet section
# is replaced by the fake endpoints. ACCOUNT_RATE replaces requests_per_second of all accounts.
# LINK_MS: one-way link delay of all fake endpoints.
# POLICY: two_choice (default), or round_robin or least_reported_load, which also switch off the
# queue, admission, limits, ejection, isolation and hedging. POLICY_LINES: more lines for [policy].
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n 's/^# \(usage\|  e.g\)/\1/p' "$0" >&2
  exit 2
fi
build=$1 folder=$2 entries=${3:-0} engines=${4:-12} plain=${5:-3} controls=${6:-0}
base=${BASE_PORT:-21000}
document=${DOCUMENT:-$(dirname "$0")/../examples/document/lanhai}
policy=${POLICY:-two_choice}
platform=127.0.0.1:$base
link=(--link_delay_ms "${LINK_MS:-0}")

mkdir -p "$folder"
if compgen -G "$folder/*.pid" >/dev/null; then
  echo "run_stack.sh: $folder already holds a stack; run tools/stop_stack.sh $folder first" >&2
  exit 1
fi

# first_service_field <kind> <key>: prints the value of a key in the first service of a kind.
first_service_field() {
  awk -v kind="\"$1\"" -v key="$2" '
    /^\[\[/ { delete item } { gsub(/ /, ""); n = index($0, "="); k = substr($0, 1, n - 1)
      item[k] = substr($0, n + 1)
      if (item["kind"] == kind && (key in item)) { gsub(/"/, "", item[key]); print item[key]; exit } }
  ' "$document/services.toml"
}
model_service=$(first_service_field model name) plain_service=$(first_service_field plain name)
model=$(first_service_field model model)
version=$(sed -n 's/^version = "\(.*\)"/\1/p' "$document/models.toml" | head -1)
mapfile -t domains < <(sed -n 's/^failure_domain = "\(.*\)"/\1/p' "$document/fleet.toml" | sort -u)

# start <name> <program> <flags...>
start() {
  local name=$1 program=$2
  shift 2
  printf '%q ' "$build/bin/$program" "$@" >"$folder/$name.cmd"
  "$build/bin/$program" "$@" </dev/null >"$folder/$name.log" 2>&1 &
  echo $! >"$folder/$name.pid"
}

# wait_ready <url>
wait_ready() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "run_stack.sh: no answer from $1 within 10 s" >&2
  return 1
}

# register_vm <id> <address> <failure domain>
register_vm() {
  curl -sf -o /dev/null -X PUT "http://$platform/vms/$1" \
    -d "{\"address\":\"$2\",\"failure_domain\":\"$3\",\"state\":\"live\"}"
}

# add_endpoint <name> <address> <service> <failure domain>
add_endpoint() {
  printf '[[endpoint]]\nname = "%s"\naddress = "%s"\nservice = "%s"\nfailure_domain = "%s"\n\n' "$@" \
    >>"$folder/document/fleet.toml"
}

write_document() {
  mkdir -p "$folder/document"
  cp "$document"/*.toml "$folder/document/"
  # The sample drill refers to endpoints of the sample fleet, which is replaced below.
  : >"$folder/document/drill.toml"
  : >"$folder/document/fleet.toml"
  if [ -n "${ACCOUNT_RATE:-}" ]; then
    sed -i "s/^requests_per_second = .*/requests_per_second = $ACCOUNT_RATE/" \
      "$folder/document/accounts.toml"
  fi
  for ((i = 0; i < engines; i++)); do
    add_endpoint "engine-$i" "127.0.0.1:$((base + 100 + i))" "$model_service" "${domains[i % 3]}"
  done
  for ((i = 0; i < plain; i++)); do
    add_endpoint "plain-$i" "127.0.0.1:$((base + 200 + i))" "$plain_service" "${domains[i % 3]}"
  done
  for ((i = 0; i < entries; i++)); do
    printf '[[vm]]\nname = "entry-%d"\n\n' "$i" >>"$folder/document/fleet.toml"
  done
}

# write_settings <index>
write_settings() {
  local disabled_features="" document_lines=""
  if [ "${DOCUMENT_SOURCE:-directory}" = directory ]; then
    document_lines=$(printf '[document]\ndirectory = "%s"' "$folder/document")
  fi
  if [ "$policy" != two_choice ]; then
    for name in fair_queue memory_admission eject_outliers isolate_suspects hedge_reads \
      limit_concurrency limit_accounts; do
      disabled_features+="$name = false"$'\n'
    done
  fi
  cat >"$folder/entry-$1.toml" <<T
[vm]
name = "entry-$1"
failure_domain = "${domains[$1 % 3]}"
[listen]
callers = "127.0.0.1:$((base + 300 + $1))"
peer = "127.0.0.1:$((base + 400 + $1))"
[peers]
seeds = ["127.0.0.1:$((base + 400))", "127.0.0.1:$((base + 401))"]
[platform]
address = "$platform"
$document_lines
[tickets]
key = "0123456789abcdef0123456789abcdef"
[teams.ops]
token_sha256 = "$(printf ops-token | sha256sum | cut -d' ' -f1)"
sections = ["models", "accounts", "classes", "services", "fleet", "drill"]
[policy]
selector = "$policy"
$disabled_features${POLICY_LINES:-}
T
}

# write_control_settings <index>
write_control_settings() {
  local term=${LEASE_TERM_MS:-6000}
  cat >"$folder/control-$1.toml" <<T
[vm]
name = "entry-$1"
[listen]
health = "127.0.0.1:$((base + 500 + $1))"
[platform]
address = "$platform"
[lease]
term_ms = $term
renew_interval_ms = $((term / 3))
T
}

start platform fake_platform --listen "$platform" ${PLATFORM_FLAGS:-}
wait_ready "http://$platform/stats"
for ((i = 0; i < engines; i++)); do
  start "engine-$i" fake_endpoint --listen "127.0.0.1:$((base + 100 + i))" --name "engine-$i" \
    --seed $((i + 1)) --weights_url "http://$platform" --model "$model" --model_version "$version" \
    "${link[@]}" ${ENGINE_FLAGS:-}
done
for ((i = 0; i < plain; i++)); do
  start "plain-$i" fake_endpoint --listen "127.0.0.1:$((base + 200 + i))" --name "plain-$i" \
    --kind plain --seed $((i + 1)) "${link[@]}" ${PLAIN_FLAGS:-}
done
for ((i = 0; i < engines; i++)); do
  wait_ready "http://127.0.0.1:$((base + 100 + i))/load"
  register_vm "engine-$i" "127.0.0.1:$((base + 100 + i))" "${domains[i % 3]}"
done
for ((i = 0; i < plain; i++)); do
  wait_ready "http://127.0.0.1:$((base + 200 + i))/load"
  register_vm "plain-$i" "127.0.0.1:$((base + 200 + i))" "${domains[i % 3]}"
done
if [ "$entries" -gt 0 ]; then
  write_document
fi
for ((i = 0; i < entries; i++)); do
  write_settings "$i"
  start "entry-$i" tarragon-entry --settings "$folder/entry-$i.toml"
done
for ((i = 0; i < entries; i++)); do
  if [ "${DOCUMENT_SOURCE:-directory}" = directory ]; then
    wait_ready "http://127.0.0.1:$((base + 300 + i))/readyz"
  else
    wait_ready "http://127.0.0.1:$((base + 300 + i))/healthz"
  fi
  register_vm "entry-$i" "127.0.0.1:$((base + 400 + i))" "${domains[i % 3]}"
done
for ((i = 0; i < controls; i++)); do
  write_control_settings "$i"
  start "control-$i" tarragon-control --settings "$folder/control-$i.toml"
done
for ((i = 0; i < controls; i++)); do
  wait_ready "http://127.0.0.1:$((base + 500 + i))/healthz"
done
echo "platform=$platform engines=$engines plain=$plain entries=$entries controls=$controls policy=$policy folder=$folder"
