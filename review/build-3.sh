#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/14 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  echo "review/standins-3/$name"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
