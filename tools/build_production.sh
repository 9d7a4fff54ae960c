#!/usr/bin/env bash
# Builds the gateway of the version in production, which deploy/system.toml names, from the history
# of the repository: tests run it beside the current one, as an upgrade does.
# Usage: tools/build_production.sh FOLDER [JOBS]; the program is FOLDER/build/bin/tarragon-gateway.
set -euo pipefail
folder=$1
jobs=${2:-4}
root=$(cd "$(dirname "$0")/.." && pwd)
commit=$(sed -n 's/^production *= *"\(.*\)"/\1/p' "$root/deploy/system.toml")
if ! git -C "$root" cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "version $commit in production is not in the history of this checkout; its tests are skipped" >&2
  exit 0
fi
mkdir -p "$folder/source"
git -C "$root" archive "$commit" | tar -x -C "$folder/source"
cmake -S "$folder/source" -B "$folder/build" -G Ninja -DTARRAGON_PROGRAMS_ONLY=ON >/dev/null
cmake --build "$folder/build" --target tarragon-gateway -j "$jobs" >/dev/null
