#!/usr/bin/env bash
# Measures the entry's resident memory with increasing numbers of idle connections or open streams and
# fits a line. Each kind needs a fresh entry, because the threads of closed connections remain.
# usage: measure_memory.sh <build> idle|stream [points...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build} kind=${2:-idle} endpoints=12 step_us=50000
shift 2 || shift $#
points=("$@")
# curl runs at most 300 transfers in parallel.
[ ${#points[@]} -gt 0 ] || points=(75 150 225 300)
. tools/start_measured_entry.sh
rss() { awk '/^VmRSS/ || /^Threads/ {print $2}' "/proc/$entry_pid/status" | paste -sd ' '; }
open_idle() {
  local fd fds=()
  for _ in $(seq "$1"); do exec {fd}<>"/dev/tcp/127.0.0.1/$port"; fds+=("$fd"); done
  sleep 1
  echo "$1 $(rss)" | tee -a "$work/points"
  for fd in "${fds[@]}"; do exec {fd}>&-; done
}
open_streams() {
  local i open curl_pid
  for i in $(seq "$1"); do
    [ "$i" = 1 ] || echo next
    cat <<T
url = "http://127.0.0.1:$port/v1/completions"
header = "Authorization: Bearer load-token"
data = "{\"model\":\"drafter\",\"prompt\":\"memory $1 $i [len=160]\",\"max_tokens\":160,\"stream\":true}"
output = "/dev/null"
T
  done >"$work/curl"
  curl --no-progress-meter -Z --parallel-immediate --parallel-max 300 -K "$work/curl" & curl_pid=$!
  sleep 5
  open=$(curl -s "http://127.0.0.1:$port/metrics" | awk '/^tarragon_open_requests / {print $2}')
  echo "$open $(rss)" | tee -a "$work/points"
  wait "$curl_pid"
}
echo "$kind rss_kb threads"
echo "0 $(rss)"
for n in "${points[@]}"; do
  case $kind in
    idle) open_idle "$n" ;;
    *) open_streams "$n" ;;
  esac
  sleep 1
done
# Linear least-squares fit of the second column over the first.
awk -v kind="$kind" '{n++; x+=$1; y+=$2; xx+=$1*$1; xy+=$1*$2}
  END {b=(n*xy-x*y)/(n*xx-x*x); printf "%s: %.1f kB each, %.0f kB at 0\n", kind, b, (y-b*x)/n}' \
  "$work/points"
