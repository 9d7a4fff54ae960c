#!/usr/bin/env bash
# Runs randomized simulations of the request engine; fails if any of them violates an invariant.
# usage: soak.sh <build folder> <seed> <minutes>
set -euo pipefail
build=$1 seed=$2 minutes=$3
exec "$build/bin/tarragon-soak" --seed="$seed" --minutes="$minutes"
