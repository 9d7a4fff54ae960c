#!/usr/bin/env bash
# Guards against a command of the operator client that crashes, prints the wrong output or exits with
# a status other than the documented one. usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
start_platform
# Two engines, because a single one must keep serving and could never load the new version.
start_engine 0 --load_ms 100
start_engine 1 --load_ms 100
write_document 2 0 2
start_entry 0
start_entry 1
for n in 0 1; do eventually "entry $n answers" get "http://$(entry_address "$n")/healthz"; done
start_control 0
commands=0
# expect <exit status> <pattern of the output> <arguments...>
expect() {
  local wanted=$1 pattern=$2 status=0
  shift 2
  ctl "$@" >"$work/ctl.out" 2>&1 || status=$?
  [ "$status" -eq "$wanted" ] || fail "tarragonctl $*: exit status $status instead of $wanted: $(cat "$work/ctl.out")"
  grep -Eq "$pattern" "$work/ctl.out" || fail "tarragonctl $*: no '$pattern' in: $(cat "$work/ctl.out")"
  commands=$((commands + 1))
}
expect 0 'in force on 2 of 2 VMs' init "$work/document" --wait
expect 3 'changed' init "$work/document"
expect 0 '^models +1$' section list
expect 0 '^# base-version: 1$' section show models
expect 0 'models is at version 2, document 2' section edit models 'version = "1"' 'version = "2"' --wait
expect 0 '^1 +ops ' section history models
expect 0 '^\+version = "2"' section diff models 1
expect 0 'models is at version 3' section undo models 1 --author alice --wait
expect 0 '^3 +alice ' section history models
expect 0 '^entry-1 +alive +3 ' fleet
eventually "the rollout is recorded" eval 'ctl rollout | grep -Eq "^drafter +1 +done +2/2"'
grep -q 'event=rollout model=drafter version=1 state=done' "$work/control-0.log" ||
  fail "the log of control 0 does not contain the state of the rollout"
expect 0 '"vm": "entry-0"' status
expect 1 'services:1: .*drafter' section edit models 'name = "drafter"' 'name = "other"'
expect 1 'no such' section show nothing
expect 2 'exactly once' section edit models 'not there' 'x'
expect 2 'usage' section show
expect 2 'base version' section put models "$work/document/models.toml"
expect 3 'changed' section put models "$work/document/models.toml" --base 1
ops_token=wrong expect 1 'bearer token' fleet
send_signal STOP entry-1
expect 5 'not in force everywhere' section edit models 'version = "1"' 'version = "4"' --wait --timeout_ms 400
send_signal CONT entry-1
kill_now entry-0
expect 4 'no answer' fleet
echo "$commands commands printed and exited as documented"
