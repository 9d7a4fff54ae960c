#!/usr/bin/env bash
# Guards against tokens that are lost, repeated or generated again when an entry is killed while it
# streams: the callers resume at another entry with their tickets. usage: <script> <build> <base port>
# With NO_RETURN_TICKET=1 the test must fail, because the other entry then starts new generations.
source "$(dirname "$0")/lib.sh" "$@"
streams=20 length=150
start_platform
start_engine 0 --slots 16
start_engine 1 --slots 16
write_document 2 0 2
ENTRY_DOCUMENT=$work/document
start_entry 0
start_entry 1
eventually "entry 0 is ready" is_ready "$(entry_address 0)"
eventually "entry 1 is ready" is_ready "$(entry_address 1)"
callers=()
for ((i = 0; i < streams; i++)); do
  stream_answer "stream-$i" "$length" 0 1 & callers+=($!)
done
eventually "each stream has received tokens" eval 'for ((i = 0; i < streams; i++)); do has_tokens stream-$i 2 || return 1; done'
kill_now entry-0
wait "${callers[@]}" || true
resumed=0
for ((i = 0; i < streams; i++)); do
  check_answer "stream-$i" "$length"
  [ -e "$work/stream-$i.part.01" ] && resumed=$((resumed + 1))
done
ran=$(count_generations 2)
echo "$streams streams, $resumed interrupted and resumed at the other entry, $ran generations at the engines"
[ "$resumed" -gt 0 ] || fail "no stream was interrupted, so the test proved nothing"
[ "$ran" -eq "$streams" ] || fail "$ran generations for $streams requests"
