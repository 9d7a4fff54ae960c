#!/usr/bin/env bash
# Guards against a second run of a call that may not be repeated: its entry is killed while it runs,
# and the caller sends the key to another entry. usage: <script> <build> <base port>
# Fails with UNREPEATABLE=/other, since the call then counts as repeatable.
source "$(dirname "$0")/lib.sh" "$@"
keys=12
start_platform
start_plain 0 --service_ms 3000 --slots 32
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
eventually "the service runs calls" eval '[ "$(executions 1 /confirm/key-0)" -gt 0 ]'
kill_now entry-0
wait "${callers[@]}" || true
for ((i = 0; i < keys; i++)); do
  confirm 1 "key-$i" >"$work/second.$i"
done
running=0
for ((i = 0; i < keys; i++)); do
  runs=$(executions 1 "/confirm/key-$i")
  answer=$(cat "$work/second.$i")
  [ "$runs" -le 1 ] || fail "key-$i ran $runs times; second answer: $answer"
  case "$answer" in
    "409 may-have-run") running=$((running + 1)) ;;
    "200 ran") ;;
    *) fail "key-$i: unexpected answer: $answer $(cat "$work/confirm.key-$i")" ;;
  esac
done
[ "$running" -gt 0 ] || fail "no call was cut while it ran, so that nothing was shown"
echo "$keys calls cut by the death of their entry, sent again to the other: $running answered 409 may-have-run, none ran twice"

# The record of a completed call is replayed instead of a second run.
answer=$(confirm 1 key-done)
[ "$answer" = "200 ran" ] || fail "key-done: unexpected answer: $answer"
cp "$work/confirm.key-done" "$work/confirm.first"
eventually "the completed call is replayed" eval '[ "$(confirm 1 key-done)" = "200 ran" ]'
cmp -s "$work/confirm.first" "$work/confirm.key-done" || fail "key-done: another answer was replayed"
[ "$(executions 1 /confirm/key-done)" -eq 1 ] || fail "key-done ran $(executions 1 /confirm/key-done) times"
echo "a completed call sent again was answered from its record after one run"
