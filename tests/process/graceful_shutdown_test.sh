#!/usr/bin/env bash
# Guards against an entry that interrupts or wrongly refuses requests when it shuts down under load.
# usage: <script> <build> <base port>. With SHUTDOWN_SIGNAL=KILL the test must fail.
source "$(dirname "$0")/lib.sh" "$@"
streams=24 length=150
start_platform
start_engine 0 --slots 16
start_engine 1 --slots 16
start_plain_service 0 --service_ms 1500 --slots 32
write_document 2 1 1
ENTRY_DOCUMENT=$work/document
start_entry 0
eventually "entry 0 is ready" is_ready "$(entry_address 0)"
callers=()
for ((i = 0; i < streams; i++)); do
  stream_answer "stream-$i" "$length" 0 & callers+=($!)
done
# confirm <n>: sends call n and retries it while it is refused with not-run.
confirm() {
  for ((try = 0; try < 100; try++)); do
    curl -s --max-time 20 -o /dev/null -w '%{http_code} %header{run-verdict}' -X POST \
      "http://$(entry_address 0)/services/booking/confirm/$1" -H "Authorization: Bearer $caller_token" \
      -H "Idempotency-Key: confirm-$1" -d x >"$work/confirm.$1" || true
    grep -q ' not-run' "$work/confirm.$1" || return 0
    sleep 0.1
  done
}
for ((i = 0; i < 8; i++)); do
  confirm "$i" & callers+=($!)
done
eventually "each stream has received tokens" eval 'for ((i = 0; i < streams; i++)); do has_tokens stream-$i 2 || return 1; done'
eventually "all calls are running" eval 'for ((i = 0; i < 8; i++)); do [ "$(count_executions 1 /confirm/$i)" -eq 1 ] || return 1; done'
send_signal "${SHUTDOWN_SIGNAL:-TERM}" entry-0
late=$(curl -s --max-time 10 -o /dev/null -w '%{http_code} %header{run-verdict}' -X POST \
  "http://$(entry_address 0)/v1/completions" -H "Authorization: Bearer $caller_token" \
  -d '{"model":"drafter","prompt":"late [len=2]"}' || true)
exit_status entry-0
for pid in "${callers[@]}"; do
  # If the entry failed, interrupted callers would keep retrying until their limit.
  [ "$exited" -eq 0 ] && wait "$pid" || kill "$pid" 2>/dev/null || true
done
for ((i = 0; i < streams; i++)); do
  check_answer "stream-$i" "$length"
  [ ! -e "$work/stream-$i.part.01" ] || fail "stream-$i was interrupted"
done
for ((i = 0; i < 8; i++)); do
  [ "$(cat "$work/confirm.$i")" = "200 ran" ] || fail "call $i was answered $(cat "$work/confirm.$i")"
done
case "$late" in
  "503 not-run" | "000 ") ;;
  *) fail "a request during the shutdown was answered '$late'" ;;
esac
[ "$exited" -eq 0 ] || fail "the entry exited with $exited"
echo "$streams streams and 8 calls completed; a request after the signal was answered '$late'; exit status 0"
