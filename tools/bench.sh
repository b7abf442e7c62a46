#!/usr/bin/env bash
# Builds, runs the scenarios under load and prints one table with the goals.
# Usage: tools/bench.sh [full|quick] [ARGUMENTS]; --help lists the arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release -j "${JOBS:-6}" >&2
exec python3 tools/bench/bench.py "$@"
