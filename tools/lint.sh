#!/usr/bin/env bash
# Runs clang-tidy on all sources. Skips a file if neither the file, nor the repository headers that it
# includes, nor .clang-tidy have changed since its last clean run.
# usage: lint.sh <build folder> <jobs>
set -euo pipefail
build=$1 jobs=$2
cache=$build/lint-cache
mkdir -p "$cache"
# Ninja records the headers of each object; the cache key covers only headers of this repository.
ninja -C "$build" -t deps >"$cache/deps"
lint_file() {
  local file=$1 key
  key=$(awk -v source="/$file" -v root="$PWD/" '
      /^[^ ].*: #deps/ { listed = 0; first = 1; next }
      first { listed = (index($1, source) > 0 && substr($1, length($1) - length(source) + 1) == source); first = 0 }
      listed && index($1, root) == 1 { print $1 }
    ' "$cache/deps" | sort -u | xargs -r cat .clang-tidy "$file" | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  # clang-tidy 14 cannot read the views of libstdc++ 12.
  if clang-tidy-16 -p "$build" --quiet "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "clang-tidy failed: $file"
    return 1
  fi
}
export -f lint_file
export build cache
git ls-files -co --exclude-standard '*.cc' | xargs -P "$jobs" -I{} bash -c 'lint_file {}'
