#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" != rig ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" \
    review/standins-2/rig.cpp "$source"
done
