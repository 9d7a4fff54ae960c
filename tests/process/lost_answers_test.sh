#!/usr/bin/env bash
# Guards against an operator's client that reports an edit wrongly, or an edit that is applied twice,
# when the platform is away or its answers are lost after the effect. usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
start_platform
start_engine 0
write_document 1 0 2
start_entry 0
start_entry 1
eventually "entry 0 answers" get "http://$(entry_address 0)/healthz"
fault "$platform" '{"kind":"lose_answers","share":1}'
ctl init "$work/document" >"$work/init.out" 2>&1 || fail "init exited with $? after a lost answer: $(cat "$work/init.out")"
fault "$platform" '{"kind":"none"}'
# versions: the section's and the document's version, from the table itself.
section_version() { get "http://$platform/table/document/sections/models" | sed -n 's/.*\\"version\\":\([0-9]*\).*/\1/p'; }
head_version() { get "http://$platform/table/document/head" | sed -n 's/.*\\"version\\":\([0-9]*\).*/\1/p'; }
first_section=$(section_version) first_head=$(head_version)

# Each answer is lost after its effect: the entry reads back, and the document moves once.
fault "$platform" '{"kind":"lose_answers","share":1}'
status=0
ctl section edit models 'version = "1"' 'version = "2"' >"$work/lost.out" 2>&1 || status=$?
fault "$platform" '{"kind":"none"}'
lost=$(get "http://$platform/stats" | sed -n 's/.*"answers_lost":\([0-9]*\).*/\1/p')
[ "$lost" -gt 0 ] || fail "no answer was lost, so that nothing was shown"
[ "$status" -eq 0 ] || fail "the edit took effect, but the client exited with $status: $(cat "$work/lost.out")"
[ "$(section_version)" -eq $((first_section + 1)) ] || fail "section at $(section_version) after one edit from $first_section"
[ "$(head_version)" -eq $((first_head + 1)) ] || fail "document at $(head_version) after one edit from $first_head"

# The platform is away for longer than the client tries: nothing is written and it says so.
fault "$platform" '{"kind":"outage","share":1}'
status=0
ctl section edit models 'version = "2"' 'version = "3"' >"$work/away.out" 2>&1 || status=$?
fault "$platform" '{"kind":"none"}'
[ "$status" -eq 4 ] || fail "exit status $status during an outage: $(cat "$work/away.out")"
[ "$(section_version)" -eq $((first_section + 1)) ] || fail "the section moved during an outage"

# The platform goes away and comes back during an edit: the client repeats it under the same id.
fault "$platform" '{"kind":"outage","share":1,"for_ms":1500}'
ctl section edit models 'version = "2"' 'version = "3"' --wait >"$work/back.out" 2>&1 ||
  fail "exit status $? although the platform came back: $(cat "$work/back.out")"
[ "$(section_version)" -eq $((first_section + 2)) ] || fail "section at $(section_version) after two edits from $first_section"
echo "$lost answers lost: the edit was reported as done and moved the document once"
echo "platform away: exit status 4, nothing written; platform back during an edit: applied once"
