#!/usr/bin/env bash
# Guards against a rollout that stays incomplete after the lease holder is killed during it.
# usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
engines=6
start_platform
for ((n = 0; n < engines; n++)); do
  start_engine "$n" --load_ms 400
done
write_document "$engines" 0 2
put_document 1
start_control 0
eventually "control 0 holds the lease" holds_lease 0
start_control 1
eventually "control 1 is on standby" get "http://$(control_address 1)/healthz"
set_model_version 2
put_document 2
any_serves() { local n; for ((n = 0; n < engines; n++)); do engines_serve "$1" "$n" && return 0; done; return 1; }
eventually "the rollout has started" any_serves 2
kill_now control-0
all=() converged_before_kill=0
for ((n = 0; n < engines; n++)); do
  all+=("$n")
  engines_serve 2 "$n" && converged_before_kill=$((converged_before_kill + 1))
done
[ "$converged_before_kill" -lt "$engines" ] || fail "the rollout was complete before the holder was killed"
eventually "all engines serve version 2" engines_serve 2 "${all[@]}"
rollout_is_done() { get "http://$platform/table/control/rollout/drafter" | grep -q 'state\\":\\"done'; }
eventually "the rollout is recorded as done" rollout_is_done
holds_lease 1 || fail "control 1 does not hold the lease"
echo "killed after $converged_before_kill of $engines engines; the successor finished the rollout and recorded it"
