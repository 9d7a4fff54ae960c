#!/usr/bin/env bash
# Runs the load experiments of section 7 of the design page on loopback and prints one table per
# experiment, which compares our policies with both baselines.
# usage: [SEEDS="1 2 3"] [BASE_PORT=25000] [OUT=folder] measure.sh <build> [experiment...]
# ENTRIES (default 8) and POLICIES (default: ours and both baselines) restrict a run, to find a cause.
# Experiments: short_behind_long, peak, slow_endpoints, memory, kills (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 1 ]; then
  sed -n 's/^# usage/usage/p' "$0" >&2
  exit 2
fi
build=$1
shift
experiments=${*:-short_behind_long peak slow_endpoints memory kills}
seeds=${SEEDS:-1 2 3}
policies=${POLICIES:-two_choice round_robin least_reported_load}
export BASE_PORT=${BASE_PORT:-25000}
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
stack=$(mktemp -d)
entries=${ENTRIES:-8} engines=12 plain=3
# A decode step takes 14 ms plus 0.15 ms per stream. With 8 streams, each stream is 8% slower; the
# effect is small because decoding is bound by memory bandwidth. 12 engines with 8 streams each
# generate 6,316 tokens/s.
steps="--slots 8 --step_us 14000 --step_per_stream_us 150 --max_waiting 32"
plain_flags="--service_ms 20 --service_jitter_ms 10"

kill_stack() {
  # Kills the processes, so that a run does not wait for drains, which are tested elsewhere.
  local file pid
  for file in "$stack"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    case "$(cat "/proc/$pid/comm" 2>/dev/null)" in
      fake_endpoint | fake_platform | tarragon-entry) kill -KILL "$pid" 2>/dev/null || true ;;
    esac
    rm -f "$file"
  done
  wait 2>/dev/null || true
}
trap 'kill_stack; rm -rf "$stack"' EXIT

# address_list <offset> <count>: prints the addresses of consecutive ports.
address_list() {
  local i text=""
  for ((i = 0; i < $2; i++)); do text+="${text:+,}127.0.0.1:$((BASE_PORT + $1 + i))"; done
  echo "$text"
}

# run_load <name> <user> <flags of tarragon-load...>: runs the load against a fresh stack. Uses policy,
# seed and engine_flags; calls `inject_faults` in the background when the load starts.
run_load() {
  local name=$1 user=$2 link=1.5 status=0
  shift 2
  [ "$user" = lanhai ] || link=0.5
  kill_stack
  rm -rf "$stack"
  DOCUMENT=examples/document/$user POLICY=$policy LINK_MS=$link ACCOUNT_RATE=${account_rate:-1000} \
    ENGINE_FLAGS="$steps ${engine_flags:-}" PLAIN_FLAGS="$plain_flags ${extra_plain_flags:-}" \
    tools/run_stack.sh "$build" "$stack" "$entries" "$engines" "$plain" >"$out/stack.log"
  sleep 2
  inject_faults &
  local faults_pid=$!
  "$build/bin/tarragon-load" --mode mixed --user "$user" --seed "$seed" --run "$name-$seed" \
    --entries "$(address_list 300 "$entries")" --stand_ins "$(address_list 100 "$engines"),$(address_list 200 "$plain")" \
    --saved_stats "$stack/saved-1,$stack/saved-2,$stack/saved-3,$stack/saved-4,$stack/saved-5" \
    --pids "$stack" --json "$out/$name.$policy.$seed.json" --raw "$out/$name.$policy.$seed.csv" "$@" >"$out/$name.$policy.$seed.txt" \
    2>&1 || status=$?
  wait "$faults_pid" 2>/dev/null || true
  local i
  for ((i = 0; i < entries; i++)); do
    curl -s -m 2 "http://127.0.0.1:$((BASE_PORT + 300 + i))/metrics" \
      >"$out/$name.$policy.$seed.metrics-$i" || true
  done
  cp "$stack"/entry-0.log "$out/$name.$policy.$seed.entry-0.log"
  echo "$name $policy seed=$seed status=$status load=$(cut -d' ' -f1 /proc/loadavg)"
  kill_stack
}
inject_faults() { :; }

short_behind_long() {
  local work=(--read_rate 30 --short_rate 20 --short_tokens 16 --sigma 0.1)
  for seed in $seeds; do for policy in $policies; do
    run_load a_without lanhai "${work[@]}" --seconds 20 --phases measured:2 --tail 5
    # Reports are longer than 1,024 tokens, from which length a generation counts as long. The entries
    # have observed the end of some reports before the measured phase. 5.5 reports/s occupy all 96 slots.
    run_load a_with lanhai "${work[@]}" --long_rate 5.5 --long_tokens 1150 --seconds 40 \
      --phases measured:22 --tail 1 --long_deadline 600
  done; done
}

slow_endpoints() {
  local work=(--read_rate 200 --short_rate 100 --short_tokens 20 --long_rate 2 --long_tokens 300
    --seconds 36 --phases onset:8,later:13 --tail 12)
  plain=12
  for seed in $seeds; do for policy in $policies; do
    engine_flags="--report_lag_ms 5000" extra_plain_flags="--report_lag_ms 5000"
    inject_faults() { :; }
    run_load c_healthy dobrescu "${work[@]}"
    inject_faults() {
      sleep 8
      for port in 103 108 203 208; do
        curl -s -o /dev/null -d '{"kind":"slow","factor":5,"for_ms":60000}' \
          "http://127.0.0.1:$((BASE_PORT + port))/fault"
      done
    }
    run_load c_slow dobrescu "${work[@]}"
    inject_faults() { :; }
  done; done
  plain=3 engine_flags="" extra_plain_flags=""
}

peak() {
  # At a demand factor of 1 the generations need 6,316 tokens/s: 20% leak triage, 80% handovers.
  for seed in $seeds; do for policy in $policies; do
    run_load b_peak dobrescu --read_rate 30 --short_rate 63 --short_tokens 20 --long_rate 17 \
      --long_tokens 300 --base 0.7 --peak 3 --peak_start 8 --peak_rise 2 --peak_hold 10 \
      --seconds 30 --phases before:3,rise:8,peak:10,recovery:20,after:23 --short_deadline 10 \
      --long_deadline 8 --tail 12
  done; done
}

memory() {
  # 72 generations of 600 tokens hold half of their tokens on average: 90% of 12 x 2,000 KV tokens.
  for seed in $seeds; do for policy in $policies; do
    engine_flags="--kv_tokens 2000"
    run_load d_memory dobrescu --short_rate 20 --short_tokens 20 --long_rate 7.9 --long_tokens 600 \
      --sigma 0.5 --seconds 30 --phases measured:3 --tail 30
    engine_flags=""
  done; done
}

kills() {
  inject_faults() {
    local number=0 name port pid
    for name in engine-0 engine-1 plain-0 engine-2 engine-3; do
      number=$((number + 1))
      port=$((BASE_PORT + 100 + ${name#*-}))
      [ "$name" != plain-0 ] || port=$((BASE_PORT + 200))
      sleep 4
      curl -s -m 1 -o "$stack/saved-$number" "http://127.0.0.1:$port/stats" || true
      pid=$(cat "$stack/$name.pid")
      kill -KILL "$pid"
      sleep 1
      # Restarts the process with the command line that run_stack.sh recorded.
      bash -c "exec $(cat "$stack/$name.cmd")" </dev/null >>"$stack/$name.log" 2>&1 &
      echo $! >"$stack/$name.pid"
    done
  }
  for seed in $seeds; do for policy in $policies; do
    run_load e_kills dobrescu --read_rate 60 --short_rate 40 --short_tokens 20 --long_rate 4 \
      --long_tokens 300 --once_rate 10 --seconds 28 --phases measured:0 --tail 60
  done; done
  inject_faults() { :; }
}

for experiment in $experiments; do
  "$experiment"
  python3 tools/measure_table.py "$out" "$experiment"
done
echo "results in $out"
