#!/usr/bin/env bash
# Runs clang-tidy on all sources. Skips a file if neither the file, nor the repository headers that it
# includes, nor .clang-tidy have changed since its last clean run.
# usage: lint.sh <build folder> <jobs>
set -euo pipefail
build=$1 jobs=$2
cache=$build/lint-cache
mkdir -p "$cache"

# Lists each source with its headers, as paths relative to the repository. Ninja records the source
# of an object before its headers; the paths are relative to the build folder if CCACHE_BASEDIR is set.
ninja -C "$build" -t deps | awk '
    /^[^ ].*: #deps/ { source = ""; next }
    NF == 1 { if (source == "") { source = $1 } print source "\t" $1 }' >"$cache/pairs"
resolve() { cut -f"$1" "$cache/pairs" | (cd "$build" && xargs -r realpath -m --relative-to="$OLDPWD"); }
paste <(resolve 1) <(resolve 2) | awk -F'\t' '$2 !~ /^(\.\.|\/)/' | sort -u >"$cache/headers"

# Prints the cache key of a source.
key_of() {
  awk -F'\t' -v source="$1" '$1 == source { print $2 }' "$cache/headers" |
    xargs -r cat .clang-tidy "$1" | sha256sum | cut -d' ' -f1
}
lint_file() {
  local file=$1 key
  key=$(key_of "$file")
  [ -e "$cache/$key" ] && return 0
  # clang-tidy 14 cannot read the views of libstdc++ 12.
  if clang-tidy-16 -p "$build" --quiet "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "clang-tidy failed: $file"
    return 1
  fi
}
export -f key_of lint_file
export build cache

sources=$(git ls-files -co --exclude-standard '*.cc')
unrecorded=$(comm -23 <(sort -u <<<"$sources") <(cut -f1 "$cache/headers" | sort -u))
if [ -n "$unrecorded" ]; then
  echo "No recorded headers, so changes of headers would go unnoticed: $unrecorded"
  exit 1
fi
# Two sources with one key would mean that the key does not cover the source.
shared=$(xargs -P "$jobs" -I{} bash -c 'key_of {}' <<<"$sources" | sort | uniq -d)
if [ -n "$shared" ]; then
  echo "Different sources share a cache key of the linter: $shared"
  exit 1
fi
xargs -P "$jobs" -I{} bash -c 'lint_file {}' <<<"$sources"
