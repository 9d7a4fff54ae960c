#!/usr/bin/env bash
# Demonstrates the system on loopback with three entries, two control processes, six engines and two
# plain services. Exits with 0 only if every check succeeded.
# usage: tools/demo.sh [build]   DEMO_PORT: first of 60 ports, 26900 by default.
source "$(dirname "$0")/../tests/process/lib.sh" "${1:-build}" "${DEMO_PORT:-26900}"
engines=6 plain=2 entries=3 long=700
declare -a table_rows=()
step() { printf '\n%s\n' "$*"; }
note() { table_rows+=("$1|$2"); }
run_ctl() {
  printf '  $ tarragonctl %s\n' "$*"
  ctl "$@" 2>&1 | sed 's/^/    /'
}

step "1. Start a fake platform, $engines engines, $plain plain services, $entries entries, 2 controls."
start_platform
for ((n = 0; n < engines; n++)); do
  flags=()
  [ $((n % 2)) -eq 0 ] && flags=(--checks_fencing)
  start_engine "$n" --slots 16 --load_ms 300 "${flags[@]}"
done
for ((n = 0; n < plain; n++)); do start_plain_service "$n"; done
CHECKS_FENCING="0 2 4" write_document "$engines" "$plain" "$entries"
for ((n = 0; n < entries; n++)); do start_entry "$n"; done
for ((n = 0; n < entries; n++)); do eventually "entry $n answers" get "http://$(entry_address "$n")/healthz"; done
start_control 0
start_control 1

step "2. Create the operating document. The entries become ready once they have it."
run_ctl init "$work/document" --wait
for ((n = 0; n < entries; n++)); do eventually "entry $n is ready" is_ready "$(entry_address "$n")"; done
one_holder() { [ $(($(metric "$(control_address 0)" tarragon_lease_held) + $(metric "$(control_address 1)" tarragon_lease_held))) -eq 1 ]; }
eventually "exactly one control process holds the lease" one_holder

step "3. Stream a report of $long tokens through entry 0, and look up 20 slots at the same time."
stream_answer report "$long" 0 1 2 & report=$!
eventually "the report has received tokens" has_tokens report 5
found=0
for ((i = 0; i < 20; i++)); do
  get -o /dev/null "http://$(entry_address $((i % entries)))/services/booking/slots/$i" \
    -H "Authorization: Bearer $caller_token" && found=$((found + 1))
done
[ "$found" -eq 20 ] || fail "$found of 20 slot lookups were answered"
note "slot lookups during the report" "$found of 20 answered"

step "4. Change the document while the report runs: a new model version, and engine-5 leaves."
run_ctl section edit models 'version = "1"' 'version = "2"' --wait
run_ctl section edit fleet 'name = "engine-5"' $'name = "engine-5"\nstate = "leaving"' --wait
run_ctl fleet
serving=(0 1 2 3 4)
eventually "the serving engines run version 2" engines_serve 2 "${serving[@]}"
rollout_is_done() { ctl rollout | grep -Eq 'drafter +2 +done'; }
eventually "the rollout is done" rollout_is_done
run_ctl rollout
note "document changes" "2, each in force on all $entries entries"
note "engines with the new version" "${#serving[@]} of ${#serving[@]} that serve"

step "5. Start 6 more reports through entry 0, then kill one engine and entry 0."
callers=()
for ((i = 0; i < 6; i++)); do stream_answer "busy-$i" 250 0 1 2 & callers+=($!); done
eventually "each report has received tokens" eval 'for ((i = 0; i < 6; i++)); do has_tokens busy-$i 2 || return 1; done'
# Picks the engine with the most streams, so that the kill interrupts some of them.
victim=$(for n in "${serving[@]}"; do echo "$(engine_field "$n" running) $n"; done | sort -rn | head -n 1 | cut -d' ' -f2)
kill_now "engine-$victim"
kill_now entry-0
echo "  engine-$victim and entry-0 are killed; the callers resume at the other entries with their tickets"
wait "$report" "${callers[@]}" || true
check_answer report "$long"
complete=0 resumed=0 restarted=0
for ((i = 0; i < 6; i++)); do
  check_answer "busy-$i" 250
  complete=$((complete + 1))
  [ ! -e "$work/busy-$i.part.01" ] || resumed=$((resumed + 1))
  grep -q 'generation-restarted' "$work/busy-$i".part.* && restarted=$((restarted + 1))
done
[ "$resumed" -gt 0 ] || fail "no report was interrupted, so the demo proved nothing"
note "long report" "complete, $long tokens, each once"
note "reports running during the kills" "$complete of 6 complete, each token once"
note "  resumed at another entry" "$resumed"
note "  restarted after the kill of the engine" "$restarted"

step "6. Shut down the remaining entries."
for n in 1 2; do
  send_signal TERM "entry-$n"
  exit_status "entry-$n"
  [ "$exited" -eq 0 ] || fail "entry $n exited with $exited"
done
note "shutdown of the remaining entries" "exit status 0"

step "Summary"
for row in "${table_rows[@]}"; do printf '  %-40s %s\n' "${row%%|*}" "${row#*|}"; done
printf '\ndemo: passed\n'
