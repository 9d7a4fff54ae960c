#!/usr/bin/env bash
# Measures the latency that the entry adds to each token: starts fake endpoints and one entry, then
# runs tarragon-load --mode latency. usage: measure_latency.sh <build> <streams> <tokens> <endpoints>
# [step_us] [marks]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build} streams=${2:-200} tokens=${3:-200} endpoints=${4:-12} step_us=${5:-50000}
marks=${6:-100}
. tools/start_measured_entry.sh
"$build/bin/tarragon-load" --mode latency --entry "127.0.0.1:$port" --endpoints "$endpoint_list" \
  --token load-token --streams "$streams" --tokens "$tokens" --marks "$marks"
# Queueing time of events for the core thread, and the core thread's processing time per event.
curl -s "http://127.0.0.1:$port/metrics" | grep -E '^tarragon_core_(ring_wait|handling|deciding)_seconds'
