#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
for program in target/bin/tarragon-gateway target/review-2/removed_behind_cut; do
  [ -x "$program" ] || { echo "$program has not been built"; exit 2; }
done
timeout --kill-after=5 118 "target/review-2/removed_behind_cut" "$folder"
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
