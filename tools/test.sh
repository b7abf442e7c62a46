#!/usr/bin/env bash
# Builds everything and runs all tests. Usage: tools/test.sh [PRESET] [CTEST ARGUMENTS]
# With BUILD_ONLY=1 it stops after the build. JOBS limits the jobs of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-deps.sh
preset=${1:-release}
[ $# -gt 0 ] && shift
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "${JOBS:-6}"
[ -z "${BUILD_ONLY:-}" ] || exit 0
known_red=""
[ ! -f KNOWN-RED.txt ] || known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/\./\\./g' | paste -sd '|')
if [ -n "$known_red" ]; then
  echo "Passing over the tests of KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp"
cd "build/$preset"
ctest --output-on-failure -j 4 ${known_red:+-E "^($known_red)\$"} "$@"
