#!/usr/bin/env bash
# Stops the processes that run_stack.sh started for <folder>, and no others.
# usage: stop_stack.sh <folder>
set -euo pipefail
if [ $# -ne 1 ]; then
  sed -n 's/^# usage/usage/p' "$0" >&2
  exit 2
fi

# The process id may have been reused since the stack was started, so the program name is checked too.
is_stack_process() {
  case "$(cat "/proc/$1/comm" 2>/dev/null)" in
    fake_endpoint | fake_platform | tarragon-entry | tarragon-contro) return 0 ;;
    *) return 1 ;;
  esac
}

shopt -s nullglob
files=("$1"/*.pid)
for file in "${files[@]}"; do
  pid=$(cat "$file")
  is_stack_process "$pid" && kill -TERM "$pid" 2>/dev/null || true
done
for file in "${files[@]}"; do
  pid=$(cat "$file")
  for _ in $(seq 200); do
    is_stack_process "$pid" || break
    sleep 0.05
  done
  if is_stack_process "$pid"; then
    echo "stop_stack.sh: $file: process $pid did not end within 10 s and is killed" >&2
    kill -KILL "$pid" 2>/dev/null || true
  fi
  rm -f "$file"
done
