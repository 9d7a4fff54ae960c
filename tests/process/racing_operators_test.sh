#!/usr/bin/env bash
# Guards against concurrent edits of one section that overwrite each other, and against conflicts
# between edits of different sections.
# usage: <script> <build> <base port>
source "$(dirname "$0")/lib.sh" "$@"
rounds=8
start_platform
start_engine 0
write_document 1 0 2
start_entry 0
start_entry 1
eventually "entry 0 answers" get "http://$(entry_address 0)/healthz"
eventually "entry 1 answers" get "http://$(entry_address 1)/healthz"
ctl init "$work/document" --wait || fail "init exited with $?"

# put <entry> <section> <file>: writes the output to <file>.out and the exit status to <file>.status.
put() {
  local status=0
  CTL_ENTRY=$1 ctl section put "$2" "$3" >"$3.out" 2>&1 || status=$?
  echo "$status" >"$3.status"
}
conflicts=0
for ((i = 1; i <= rounds; i++)); do
  ctl section show models | sed "s/^version = .*/version = \"a$i\"/" >"$work/models.a"
  ctl section show models | sed "s/^version = .*/version = \"b$i\"/" >"$work/models.b"
  ctl section show accounts | sed "s/^requests_per_second = .*/requests_per_second = $((1000 + i))/" >"$work/accounts.a"
  put 0 models "$work/models.a" & a=$!
  put 1 models "$work/models.b" & b=$!
  put 1 accounts "$work/accounts.a" & c=$!
  wait "$a" "$b" "$c"
  [ "$(cat "$work/accounts.a.status")" = 0 ] ||
    fail "round $i: the edit of another section was refused: $(cat "$work/accounts.a.out")"
  case "$(cat "$work/models.a.status")$(cat "$work/models.b.status")" in
    03) winner=a loser=b ;;
    30) winner=b loser=a ;;
    *) fail "round $i: exit statuses $(cat "$work/models.a.status") and $(cat "$work/models.b.status") for one section: $(cat "$work"/models.?.out)" ;;
  esac
  conflicts=$((conflicts + 1))
  grep -q "version = \"$winner$i\"" "$work/models.$loser.out" ||
    fail "round $i: the refused edit does not show the difference: $(cat "$work/models.$loser.out")"
  ctl section show models | grep -q "version = \"$winner$i\"" || fail "round $i: the accepted edit is gone"
done
ctl section show accounts | grep -q "requests_per_second = $((1000 + rounds))" || fail "the last edit of accounts is gone"
echo "$rounds rounds: each edit of another section accepted, $conflicts of $((2 * rounds)) edits of one section refused with the difference"
