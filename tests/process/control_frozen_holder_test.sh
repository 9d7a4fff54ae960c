#!/usr/bin/env bash
# Guards against orders that a control process sends after its lease has expired: the lease holder is
# frozen during a rollout, a successor rolls out a newer version, and then the old holder resumes.
# usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
engines=6
start_platform
for ((n = 0; n < engines; n++)); do
  flags=(--load_ms 300)
  [ "$n" -lt 3 ] && flags+=(--checks_fencing)
  start_engine "$n" "${flags[@]}"
done
CHECKS_FENCING="0 1 2" write_document "$engines" 0 2
put_document 1
start_control 0
eventually "control 0 holds the lease" holds_lease 0
set_model_version 2
put_document 2
any_serves() { local n; for ((n = 0; n < engines; n++)); do engines_serve "$1" "$n" && return 0; done; return 1; }
eventually "the rollout has started" any_serves 2
send_signal STOP control-0
versions_at_freeze=$(for ((n = 0; n < engines; n++)); do engine_field "$n" version; done | tr '\n' ' ')
start_control 1
eventually "control 1 takes over" holds_lease 1
set_model_version 3
put_document 3
all=()
for ((n = 0; n < engines; n++)); do all+=("$n"); done
eventually "all engines serve version 3" engines_serve 3 "${all[@]}"
fencing=$(engine_field 5 order_fencing)
send_signal CONT control-0
eventually "control 0 answers again" get "http://$(control_address 0)/healthz"
eventually "control 0 detects that it lost the lease" metric_is "$(control_address 0)" tarragon_lease_held 0
holds_lease 1 || fail "control 1 lost the lease to the resumed control 0"

# Simulates an order that the frozen process had sent and that arrives late.
send_stale_order() {
  curl -s --max-time 5 -o /dev/null -w '%{http_code}' -X PUT "http://$(engine_address "$1")/v1/desired" \
    -d "{\"fencing\":$((fencing - 1)),\"document_version\":2,\"model\":\"drafter\",\"version\":\"2\",\"adapters\":[],\"role\":\"serve\"}"
}
refused=0 applied=0
for n in "${all[@]}"; do
  case "$(send_stale_order "$n")" in
    409) refused=$((refused + 1)) ;;
    200) applied=$((applied + 1)) ;;
    *) fail "engine $n: unexpected answer to a stale order" ;;
  esac
done
[ "$refused" -eq 3 ] || fail "$refused of 3 engines that check fencing refused the stale order"
[ "$applied" -eq 3 ] || fail "$applied of 3 engines that ignore fencing applied the stale order"
all_engines_current() { engines_serve 3 "${all[@]}" && fencing_is_current; }
fencing_is_current() { local n; for n in "${all[@]}"; do [ "$(engine_field "$n" order_fencing)" -ge "$fencing" ] || return 1; done; }
eventually "all engines serve version 3 under the current holder's orders" all_engines_current
echo "versions when the holder was frozen: $versions_at_freeze; after it resumed, all $engines engines serve version 3;"
echo "stale orders: $refused refused by fencing, $applied applied and corrected; orders withheld by control 0: $(metric "$(control_address 0)" tarragon_orders_withheld_total)"
