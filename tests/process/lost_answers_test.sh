#!/usr/bin/env bash
# Guards against an operator client that misreports an edit, and against an edit that is applied twice,
# when the platform is unavailable or its answers to completed writes are lost.
# usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
start_platform
start_engine 0
write_document 1 0 2
start_entry 0
start_entry 1
eventually "entry 0 answers" get "http://$(entry_address 0)/healthz"
inject_fault "$platform" '{"kind":"lose_answers","share":1}'
ctl init "$work/document" >"$work/init.out" 2>&1 || fail "init exited with $? after a lost answer: $(cat "$work/init.out")"
inject_fault "$platform" '{"kind":"none"}'
# Versions of the section and of the document, read directly from the platform's table.
section_version() { get "http://$platform/table/document/sections/models" | sed -n 's/.*\\"version\\":\([0-9]*\).*/\1/p'; }
head_version() { get "http://$platform/table/document/head" | sed -n 's/.*\\"version\\":\([0-9]*\).*/\1/p'; }
section_text_version() { ctl section show models | sed -n 's/^version = "\(.*\)"/\1/p'; }

# Half of the answers to writes are lost after the write was done. What the client reports must match
# the table, whether the edit was applied or not.
edits=10 accepted=0 refused=0 unknown=0
inject_fault "$platform" '{"kind":"lose_answers","share":0.5}'
for ((i = 1; i <= edits; i++)); do
  before=$(section_version) status=0
  ctl section edit models "version = \"$(section_text_version)\"" "version = \"lost-$i\"" >"$work/lost.out" 2>&1 || status=$?
  moved=$(($(section_version) - before))
  case "$status $(cat "$work/lost.out")" in
    "0 "*) accepted=$((accepted + 1)) expected=1 ;;
    "4 "*"nothing was written"*) refused=$((refused + 1)) expected=0 ;;
    "4 "*"may have been applied"*) unknown=$((unknown + 1)) expected=$((moved > 0 ? 1 : 0)) ;;
    *) fail "edit $i: exit status $status: $(cat "$work/lost.out")" ;;
  esac
  [ "$moved" -eq "$expected" ] || fail "edit $i advanced the section by $moved versions, but the client said: $(cat "$work/lost.out")"
done
inject_fault "$platform" '{"kind":"none"}'
lost=$(get "http://$platform/stats" | sed -n 's/.*"answers_lost":\([0-9]*\).*/\1/p')
[ "$lost" -gt 0 ] || fail "no answer was lost, so the test proved nothing"
[ "$accepted" -gt 0 ] || fail "no edit was accepted, so the test proved nothing"
first_section=$(section_version)
[ "$(head_version)" -eq "$first_section" ] || fail "document at $(head_version), its only edited section at $first_section"

# The platform is unavailable for longer than the client retries: nothing is written, and the client
# reports that.
inject_fault "$platform" '{"kind":"outage","share":1}'
status=0
ctl section edit models 'min_serving_share = 0.5' 'min_serving_share = 0.25' >"$work/away.out" 2>&1 || status=$?
inject_fault "$platform" '{"kind":"none"}'
[ "$status" -eq 4 ] || fail "exit status $status during an outage: $(cat "$work/away.out")"
[ "$(section_version)" -eq "$first_section" ] || fail "the section changed during an outage"

# The platform has an outage during an edit: the client retries the edit with the same Edit-Id.
ctl section show models | sed 's/^min_serving_share = .*/min_serving_share = 0.25/' >"$work/back.toml"
inject_fault "$platform" '{"kind":"outage","share":1,"for_ms":1500}'
ctl section put models "$work/back.toml" --wait >"$work/back.out" 2>&1 ||
  fail "exit status $? although the platform recovered: $(cat "$work/back.out")"
[ "$(section_version)" -eq $((first_section + 1)) ] || fail "section at $(section_version) after one edit from $first_section"
echo "$lost answers lost in $edits edits: $accepted reported as done and applied once, $refused as not written, $unknown as unknown"
echo "platform outage: exit status 4, nothing written; outage that ends during an edit: applied once"
