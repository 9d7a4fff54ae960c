#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python 3 programs of its standard library and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
