#!/usr/bin/env bash
# Guards against answers that are lost when entries are replaced: one after another, all at once, and
# one while the platform is away. usage: <script> <build> <base port>
# Fails with NO_RETURN_TICKET=1.
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
# start_callers <phase> <count>: callers that start at all entries in turn.
start_callers() {
  callers=()
  for ((i = 0; i < $2; i++)); do
    call "$1-$i" "$length" $((i % entries)) $(((i + 1) % entries)) $(((i + 2) % entries)) & callers+=($!)
  done
  sent=$((sent + $2))
  phase=$1 count=$2
  eventually "the callers of phase $1 have tokens" eval 'for ((i = 0; i < count; i++)); do has_tokens $phase-$i 1 || return 1; done'
}
# finish_callers: checks all answers of the phase.
finish_callers() {
  wait "${callers[@]}" || true
  for ((i = 0; i < count; i++)); do check_answer "$phase-$i" "$length"; done
}
replace() {
  send TERM "entry-$1"
  exit_status "entry-$1"
  [ "$exited" -eq 0 ] || fail "entry $1 exited with $exited"
  start_entry "$1"
  eventually "entry $1 is ready again" is_ready "$(entry_address "$1")"
}
start_callers rolling 12
for ((n = 0; n < entries; n++)); do replace "$n"; done
finish_callers

start_callers outage 12
fault "$platform" '{"kind":"outage","share":1}'
kill_now entry-0
start_entry 0
eventually "entry 0 takes the document from a peer" is_ready "$(entry_address 0)"
finish_callers
fault "$platform" '{"kind":"none"}'

start_callers together 12
for ((n = 0; n < entries; n++)); do kill_now "entry-$n"; done
for ((n = 0; n < entries; n++)); do start_entry "$n"; done
eventually "all entries are ready again" all_ready
finish_callers
ran=$(generations 2)
[ "$ran" -eq "$sent" ] || fail "$ran generations for $sent requests"
echo "$sent streams over three replacements (in turn, one during an outage, all at once): all whole, $ran generations"
