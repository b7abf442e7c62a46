#!/usr/bin/env bash
# Checks format and lint. Usage: tools/lint.sh [FILE...]; by default all sources.
# A source that has passed is not linted again until it, a header that it includes
# or a setting changes; LINT_CACHE names the folder that remembers.
set -euo pipefail
cd "$(dirname "$0")/.."
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
[ ${#sources[@]} -eq 0 ] && exit 0
export LINT_CACHE=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/quetzallead-lint}
mkdir -p "$LINT_CACHE"
cmake --preset lint >/dev/null
lint_one() {
  [ -e "$LINT_CACHE/$1" ] && return 0
  clang-tidy -p build/lint --quiet "$2" 2>/dev/null && touch "$LINT_CACHE/$1"
}
export -f lint_one
printf '%s\n' "${sources[@]}" | tools/lint-stamps.py build/lint/compile_commands.json |
  xargs -P "${JOBS:-6}" -L 1 bash -c 'lint_one "$@"' lint_one
