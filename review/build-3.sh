#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are written in Python 3 and
# need only its standard library, so that nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import asyncio  # noqa: F401
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(pathlib.Path("review").glob("1[1-5]/*.py")) + sorted(
    pathlib.Path("review/common-3").glob("*.py")
):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
