#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are written in Python 3 and need no other build.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
