#!/usr/bin/env bash
# Runs clang-tidy over the sources. A file whose preprocessed content, settings and linter are
# unchanged since its last clean run is skipped.
# usage: lint.sh <build folder> <jobs>
set -euo pipefail
build=$1 jobs=$2
cache=$build/lint-cache
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum)
lint_file() {
  local file=$1 key
  key=$( (echo "$headers"; cat "$file") | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null && touch "$cache/$key" || { echo "lint failed: $file"; return 1; }
}
export -f lint_file
export build cache headers
git ls-files -co --exclude-standard '*.cc' | xargs -P "$jobs" -I{} bash -c 'lint_file {}'
