#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
set -euo pipefail
build=${1:-build}
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v /generated/)
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
printf '%s\n' "${files[@]}" | grep '\.cc$' | grep -v '/tests/' |
  xargs -P "$(($(nproc) / 2))" -n 4 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: clean"
