# Functions for the process tests, which run `source lib.sh <build> <base port>`.
# Starts processes that are killed when the test ends, writes a small operating document, simulates
# callers and checks their answers.
set -euo pipefail
bin=$1/bin
base=$2
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
platform=127.0.0.1:$base
model_service=drafter
caller_token=caller-token
ops_token=ops-token
shopt -s nullglob
declare -A pids=()

# engine_address <n>, plain_address <n>, entry_address <n>, peer_address <n>, control_address <n>
engine_address() { echo "127.0.0.1:$((base + 10 + $1))"; }
plain_address() { echo "127.0.0.1:$((base + 20 + $1))"; }
entry_address() { echo "127.0.0.1:$((base + 30 + $1))"; }
peer_address() { echo "127.0.0.1:$((base + 40 + $1))"; }
control_address() { echo "127.0.0.1:$((base + 50 + $1))"; }

cleanup() {
  local status=$? pid
  trap - EXIT
  set +e
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  # Background callers end once the processes that they are connected to are gone.
  wait 2>/dev/null
  if [ "$status" -ne 0 ]; then
    for log in "$work"/*.log; do
      echo "--- last lines of ${log##*/}"
      tail -n 15 "$log"
    done
  fi
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*"
  exit 1
}

# start <name> <program> <flags...>
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" </dev/null >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# send_signal <signal> <name>
send_signal() { kill "-$1" "${pids[$2]}"; }

# kill_now <name>: kills a process with SIGKILL, without a graceful shutdown.
kill_now() {
  send_signal KILL "$1"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# exit_status <name>: waits for a process to end and sets `exited` to its exit status.
exit_status() {
  local status=0
  wait "${pids[$1]}" || status=$?
  unset "pids[$1]"
  exited=$status
}

# eventually <condition> <command...>: repeats the command until it succeeds. The limit only stops a
# test whose condition never becomes true.
run_command() { "$@"; }
eventually() {
  local condition=$1
  shift
  for _ in $(seq 300); do
    # Run in a function, so that a command passed to eval may use `return`.
    if run_command "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  fail "timed out waiting until: $condition"
}

get() { curl -sf --max-time 5 "$@"; }
is_ready() { get "http://$1/readyz"; }
inject_fault() { curl -sf --max-time 5 -o /dev/null -X POST "http://$1/fault" -d "$2"; }

# metric <address> <name>: the value of a metric, or 0.
metric() { { get "http://$1/metrics" || true; } | awk -v name="$2" '$1 == name { v = $2 } END { print v + 0 }'; }
metric_is() { [ "$(metric "$1" "$2")" -eq "$3" ]; }
metric_at_least() { [ "$(metric "$1" "$2")" -ge "$3" ]; }

start_platform() {
  start platform fake_platform --listen "$platform"
  eventually "the platform answers" get "http://$platform/vms"
}

# start_engine <n> <flags...>
start_engine() {
  local n=$1
  shift
  start "engine-$n" fake_endpoint --listen "$(engine_address "$n")" --name "engine-$n" \
    --seed $((n + 1)) --weights_url "http://$platform" "$@"
  eventually "engine $n answers" get "http://$(engine_address "$n")/v1/load"
}

# start_plain_service <n> <flags...>
start_plain_service() {
  local n=$1
  shift
  start "plain-$n" fake_endpoint --kind plain --listen "$(plain_address "$n")" --name "plain-$n" \
    --seed $((n + 1)) "$@"
  eventually "plain service $n answers" get "http://$(plain_address "$n")/load"
}

# write_document <engines> <plain services> <entries>: writes the sections to $work/document.
# CHECKS_FENCING: indices of the engines that check fencing tokens. UNREPEATABLE: unrepeatable path of
# the plain service.
write_document() {
  local directory=$work/document domains=(a b c) n
  mkdir -p "$directory"
  printf '[[model]]\nname = "drafter"\nversion = "1"\nmin_serving_share = 0.5\n' >"$directory/models.toml"
  printf '[[account]]\nname = "yard"\nrequests_per_second = 1000\ntoken_sha256 = "%s"\n' \
    "$(printf '%s' "$caller_token" | sha256sum | cut -d' ' -f1)" >"$directory/accounts.toml"
  cat >"$directory/classes.toml" <<T
[[class]]
name = "lookup"
priority = 0
loss_policy = "restart"
default_deadline_ms = 60000
urgent = true

[[class]]
name = "report"
priority = 5
loss_policy = "restart"
default_deadline_ms = 600000
urgent = false
T
  : >"$directory/services.toml"
  if [ "$1" -gt 0 ]; then
    cat >>"$directory/services.toml" <<T
[[service]]
name = "$model_service"
kind = "model"
model = "drafter"
default_class = "report"

T
  fi
  if [ "$2" -gt 0 ]; then
    cat >>"$directory/services.toml" <<T
[[service]]
name = "booking"
kind = "plain"
default_class = "lookup"
unrepeatable_paths = ["${UNREPEATABLE:-/confirm}"]
T
  fi
  : >"$directory/drill.toml"
  : >"$directory/fleet.toml"
  for ((n = 0; n < $1; n++)); do
    write_endpoint "engine-$n" "$(engine_address "$n")" "$model_service" "${domains[n % 3]}"
    case " ${CHECKS_FENCING:-} " in
      *" $n "*) printf 'checks_fencing = true\n' >>"$directory/fleet.toml" ;;
    esac
  done
  for ((n = 0; n < $2; n++)); do
    write_endpoint "plain-$n" "$(plain_address "$n")" booking "${domains[n % 3]}"
  done
  for ((n = 0; n < $3; n++)); do
    printf '\n[[vm]]\nname = "entry-%d"\n' "$n" >>"$directory/fleet.toml"
  done
}

# write_endpoint <name> <address> <service> <failure domain>
write_endpoint() {
  printf '\n[[endpoint]]\nname = "%s"\naddress = "%s"\nservice = "%s"\nfailure_domain = "%s"\n' "$@" \
    >>"$work/document/fleet.toml"
}

# start_entry <n>: reads the document from the directory ENTRY_DOCUMENT, if set.
start_entry() {
  local n=$1 source=""
  if [ -n "${ENTRY_DOCUMENT:-}" ]; then
    source=$(printf '[document]\ndirectory = "%s"' "$ENTRY_DOCUMENT")
  fi
  cat >"$work/entry-$n.toml" <<T
[vm]
name = "entry-$n"
failure_domain = "a"
[listen]
callers = "$(entry_address "$n")"
peer = "$(peer_address "$n")"
[peers]
seeds = ["$(peer_address 0)", "$(peer_address 1)"]
[platform]
address = "$platform"
read_timeout_ms = 1000
$source
[tickets]
key = "0123456789abcdef0123456789abcdef"
[teams.ops]
token_sha256 = "$(printf '%s' "$ops_token" | sha256sum | cut -d' ' -f1)"
sections = ["models", "accounts", "classes", "services", "fleet", "drill"]
T
  start "entry-$n" tarragon-entry --settings "$work/entry-$n.toml"
}

# start_control <n>: uses a short lease term, so that a successor takes over during the test.
start_control() {
  local n=$1
  cat >"$work/control-$n.toml" <<T
[vm]
name = "entry-$n"
[listen]
health = "$(control_address "$n")"
[platform]
address = "$platform"
[lease]
term_ms = 2000
renew_interval_ms = 500
[engines]
poll_interval_ms = 200
timeout_ms = 500
load_interval_ms = 0
T
  start "control-$n" tarragon-control --settings "$work/control-$n.toml"
}

holds_lease() { metric_is "$(control_address "$1")" tarragon_lease_held 1; }

# json_escape: prints standard input as the contents of a JSON string.
json_escape() { sed -e 's/\\/\\\\/g' -e 's/"/\\"/g' | awk '{ printf "%s%s", separator, $0; separator = "\\n" }'; }

# row_version <key>: prints the version of a row in the platform's table.
row_version() {
  { get "http://$platform/table/$1" || true; } | sed -n 's/.*"version":\([0-9]*\).*/\1/p' | tail -n 1
}

# put_document <version>: writes all sections of $work/document with that version directly to the
# platform's table, so that tests of control need no entry.
put_document() {
  local version=$1 name writes="" sections="" key conditions="" value
  for name in models accounts classes services fleet drill; do
    value=$(printf '{"version":%d,"edit_id":"test-%d","author":"test","text":"%s"}\n' "$version" \
      "$version" "$(json_escape <"$work/document/$name.toml")" | json_escape)
    writes+="{\"key\":\"document/sections/$name\",\"value\":\"$value\"},"
    sections+="${sections:+,}\"$name\":$version"
  done
  value=$(printf '{"version":%d,"sections":{%s}}\n' "$version" "$sections" | json_escape)
  writes+="{\"key\":\"document/head\",\"value\":\"$value\"}"
  curl -sf -o /dev/null -X POST "http://$platform/table/transactions" \
    -d "{\"conditions\":[],\"writes\":[$writes]}" || fail "the document could not be written"
}

# set_model_version <version>: changes $work/document, but not the platform's table.
set_model_version() { sed -i "s/^version = .*/version = \"$1\"/" "$work/document/models.toml"; }

# engine_field <n> <field>: prints a field of the engine's load report, without quotes.
engine_field() {
  { get "http://$(engine_address "$1")/v1/load" || true; } |
    sed -n "s/.*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}
# engines_serve <version> <engine...>
engines_serve() {
  local version=$1 n
  shift
  for n in "$@"; do
    [ "$(engine_field "$n" version)" = "$version" ] || return 1
  done
}

# parse_stream <file...>: reads the parts of one answer in order and prints "generation index" for each
# token. Tokens before a generation-restarted event are dropped.
parse_stream() {
  cat "$@" | tr -d '\r' | awk '
    /^event: generation-restarted/ { count = 0 }
    /^id: / { split($2, id, ":"); tokens[count++] = id[1] " " id[2] }
    END { for (i = 0; i < count; i++) print tokens[i] }'
}

# has_end <file>: succeeds if the part contains the end marker.
has_end() { tr -d '\r' <"$1" | grep -q '^data: \[DONE\]'; }

# stream_answer <name> <length> <entry...>: streams one answer from the first entry. After an
# interruption it resumes at the next entries with its ticket until the answer is complete, as
# docs/CALLERS.md requires of callers. Writes the parts to $work/<name>.part.<k>. With
# NO_RETURN_TICKET the caller does not send its ticket.
stream_answer() {
  local name=$1 length=$2 part=0 ticket="" last="" status headers file entries
  shift 2
  entries=("$@")
  for ((try = 0; try < 60; try++)); do
    local entry=${entries[try < ${#entries[@]} ? try : ${#entries[@]} - 1]}
    [ "$part" -gt 0 ] && entry=${entries[try % ${#entries[@]}]}
    file=$work/$name.part.$(printf %02d "$part")
    headers=$work/$name.headers
    local extra=()
    if [ -n "$ticket" ] && [ -z "${NO_RETURN_TICKET:-}" ]; then
      extra=(-H "Resumption-Ticket: $ticket")
      [ -n "$last" ] && extra+=(-H "Last-Event-ID: $last")
    fi
    status=$(curl -sN --max-time 30 --speed-limit 1 --speed-time 5 -D "$headers" -o "$file" \
      -w '%{http_code}' -X POST "http://$(entry_address "$entry")/v1/completions" \
      -H "Authorization: Bearer $caller_token" "${extra[@]}" \
      -d "{\"model\":\"drafter\",\"prompt\":\"$name [len=$length]\",\"max_tokens\":$length,\"stream\":true}" \
      2>/dev/null) || true
    if [ "$status" = 200 ]; then
      echo "$entry" >>"$work/$name.entries"
      has_end "$file" && return 0
      local found
      found=$(tr -d '\r' <"$headers" | sed -n 's/^[Rr]esumption-[Tt]icket: //p')
      [ -n "$found" ] && ticket=$found
      found=$(sed -n 's/.*"resumption_ticket":"\([^"]*\)".*/\1/p' "$file" | tail -n 1)
      [ -n "$found" ] && ticket=$found
      last=$(parse_stream "$work/$name".part.* | tail -n 1 | tr ' ' ':')
      part=$((part + 1))
    else
      echo "$status $(cat "$file" 2>/dev/null)" >>"$work/$name.refusals"
      rm -f "$file"
      sleep 0.2
    fi
  done
  return 1
}

# check_answer <name> <length>: fails unless the answer is complete and from one generation, with each
# token once and in order.
check_answer() {
  local parts=("$work/$1".part.*)
  [ "${#parts[@]}" -gt 0 ] || fail "$1: no answer; refusals: $(cat "$work/$1.refusals" 2>/dev/null)"
  has_end "${parts[-1]}" || fail "$1: the answer is incomplete; refusals: $(cat "$work/$1.refusals" 2>/dev/null)"
  parse_stream "${parts[@]}" | awk -v length_="$2" '
    NR == 1 { generation = $1 }
    $1 != generation { print "tokens of two generations"; bad = 1; exit }
    $2 != NR - 1 { print "token " $2 " at position " NR - 1; bad = 1; exit }
    END { if (!bad && NR != length_) { print NR " tokens instead of " length_; bad = 1 } exit bad }' ||
    fail "$1: wrong tokens"
}

# count_tokens <name>: prints the number of tokens received so far.
count_tokens() { parse_stream "$work/$1".part.* | wc -l; }
has_tokens() { [ "$(count_tokens "$1")" -ge "$2" ]; }

# count_generations <engines>: prints how many generations the engines have accepted.
count_generations() {
  local n total=0
  for ((n = 0; n < $1; n++)); do
    total=$((total + $(get "http://$(engine_address "$n")/stats" | grep -o '"id":"[^"]*"' | sort -u | wc -l)))
  done
  echo "$total"
}

# count_executions <plain services> <path>: prints how often the plain services executed the path, over
# all idempotency keys. Each call of a test has its own path, so that its executions are counted alone.
count_executions() {
  local n total=0 count
  for ((n = 0; n < $1; n++)); do
    count=$(get "http://$(plain_address "$n")/executions" | tr '{' '\n' | grep -F "\"path\":\"$2\"" |
      sed -n 's/.*"count":\([0-9]*\).*/\1/p' | awk '{ s += $1 } END { print s + 0 }' || true)
    total=$((total + count))
  done
  echo "$total"
}

ctl() {
  TARRAGON_TOKEN=$ops_token "$bin/tarragonctl" --server "$(entry_address "${CTL_ENTRY:-0}")" "$@"
}
