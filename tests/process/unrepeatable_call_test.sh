#!/usr/bin/env bash
# Guards against a second execution of an unrepeatable call: the entry is killed while the call runs,
# and the caller retries with the same idempotency key at another entry.
# usage: <script> <build> <base port>
# With UNREPEATABLE=/other the test must fail, because the call then counts as repeatable.
source "$(dirname "$0")/lib.sh" "$@"
keys=12
start_platform
start_plain_service 0 --service_ms 3000 --slots 32
write_document 0 1 2
ENTRY_DOCUMENT=$work/document
start_entry 0
start_entry 1
eventually "entry 0 is ready" is_ready "$(entry_address 0)"
eventually "entry 1 is ready" is_ready "$(entry_address 1)"

# confirm <entry> <key>: prints the status and the verdict.
confirm() {
  curl -s --max-time 20 -o "$work/confirm.$2" -w '%{http_code} %header{run-verdict}\n' -X POST \
    "http://$(entry_address "$1")/services/booking/confirm/$2" -H "Authorization: Bearer $caller_token" \
    -H "Idempotency-Key: $2" -d "{\"booth\":3}" || true
}

callers=()
for ((i = 0; i < keys; i++)); do
  confirm 0 "key-$i" >"$work/first.$i" & callers+=($!)
done
# An entry that has just started may refuse some calls, so one running call is enough.
any_runs() { [ "$(get "http://$(plain_address 0)/executions" | grep -o '"path":"/confirm/' | wc -l)" -gt 0 ]; }
eventually "the service runs a call" any_runs
kill_now entry-0
wait "${callers[@]}" || true
for ((i = 0; i < keys; i++)); do
  case "$(cat "$work/first.$i")" in
    *not-run*) [ "$(count_executions 1 "/confirm/key-$i")" -eq 0 ] || fail "key-$i was reported as not run, but ran" ;;
  esac
  confirm 1 "key-$i" >"$work/second.$i"
done
running=0 refused=0
for ((i = 0; i < keys; i++)); do
  runs=$(count_executions 1 "/confirm/key-$i")
  answer=$(cat "$work/second.$i")
  [ "$runs" -le 1 ] || fail "key-$i ran $runs times; second answer: $answer"
  case "$answer" in
    "409 may-have-run") running=$((running + 1)) ;;
    "200 ran") ;;
    *" not-run")
      refused=$((refused + 1))
      [ "$runs" -eq 0 ] || fail "key-$i was reported as not run, but ran"
      ;;
    *) fail "key-$i: unexpected answer: $answer $(cat "$work/confirm.key-$i")" ;;
  esac
done
[ "$running" -gt 0 ] || fail "no call was interrupted while it ran, so the test proved nothing"
echo "$keys calls interrupted by the kill of their entry and retried at the other: $running answered 409 may-have-run, $refused refused with not-run, none ran twice"

# A retry of a completed call gets the recorded answer instead of a second execution.
# A call that was refused with not-run may be retried.
completes() { [ "$(confirm 1 key-done)" = "200 ran" ]; }
eventually "a call completes" completes
cp "$work/confirm.key-done" "$work/confirm.first"
eventually "the completed call is replayed" completes
cmp -s "$work/confirm.first" "$work/confirm.key-done" || fail "key-done: a different answer was replayed"
[ "$(count_executions 1 /confirm/key-done)" -eq 1 ] || fail "key-done ran $(count_executions 1 /confirm/key-done) times"
echo "the retry of a completed call was answered from its record; the call ran once"
