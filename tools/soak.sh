#!/usr/bin/env bash
# Runs random worlds against the request engine; fails if a promise is broken in any of them.
# usage: soak.sh <build folder> <seed> <minutes>
set -euo pipefail
build=$1 seed=$2 minutes=$3
exec "$build/bin/tarragon-soak" --seed="$seed" --minutes="$minutes"
