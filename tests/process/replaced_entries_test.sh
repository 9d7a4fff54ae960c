#!/usr/bin/env bash
# Guards against answers that are lost when entries are replaced: one after another, one during a
# platform outage, and all at once. usage: <script> <build> <base port>
# With NO_RETURN_TICKET=1 the test must fail.
source "$(dirname "$0")/lib.sh" "$@"
entries=3 length=200
start_platform
for n in 0 1; do start_engine "$n" --slots 32; done
write_document 2 0 "$entries"
for ((n = 0; n < entries; n++)); do start_entry "$n"; done
for ((n = 0; n < entries; n++)); do eventually "entry $n answers" get "http://$(entry_address "$n")/healthz"; done
ctl init "$work/document" --wait || fail "init exited with $?"
all_ready() { local n; for ((n = 0; n < entries; n++)); do is_ready "$(entry_address "$n")" || return 1; done; }
eventually "all entries are ready" all_ready
sent=0
# start_callers <phase> <count>: starts callers, assigned to the entries round-robin.
start_callers() {
  callers=()
  for ((i = 0; i < $2; i++)); do
    stream_answer "$1-$i" "$length" $((i % entries)) $(((i + 1) % entries)) $(((i + 2) % entries)) & callers+=($!)
  done
  sent=$((sent + $2))
  phase=$1 count=$2
  eventually "the callers of phase $1 have received tokens" eval 'for ((i = 0; i < count; i++)); do has_tokens $phase-$i 1 || return 1; done'
}
# finish_callers: waits for the callers of the phase and checks their answers.
finish_callers() {
  wait "${callers[@]}" || true
  for ((i = 0; i < count; i++)); do check_answer "$phase-$i" "$length"; done
}
replace_entry() {
  send_signal TERM "entry-$1"
  exit_status "entry-$1"
  [ "$exited" -eq 0 ] || fail "entry $1 exited with $exited"
  start_entry "$1"
  eventually "entry $1 is ready again" is_ready "$(entry_address "$1")"
}
start_callers rolling 12
for ((n = 0; n < entries; n++)); do replace_entry "$n"; done
finish_callers

start_callers outage 12
inject_fault "$platform" '{"kind":"outage","share":1}'
kill_now entry-0
start_entry 0
eventually "entry 0 fetches the document from a peer" is_ready "$(entry_address 0)"
finish_callers
inject_fault "$platform" '{"kind":"none"}'

start_callers together 12
for ((n = 0; n < entries; n++)); do kill_now "entry-$n"; done
for ((n = 0; n < entries; n++)); do start_entry "$n"; done
eventually "all entries are ready again" all_ready
finish_callers
ran=$(count_generations 2)
[ "$ran" -eq "$sent" ] || fail "$ran generations for $sent requests"
echo "$sent streams over three replacements (one by one, one during an outage, all at once): all complete, $ran generations"
