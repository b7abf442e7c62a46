#!/usr/bin/env bash
# Checks format and lint. Usage: tools/lint.sh [FILE...]; by default all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
[ ${#sources[@]} -eq 0 ] && exit 0
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-6}" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
