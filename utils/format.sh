#!/usr/bin/env bash
# Formats every C++ file, or with --check fails on the first that differs.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard '*.cc' '*.h' ':!proto')
[ -z "$files" ] && exit 0
if [ "${1:-}" = "--check" ]; then
  # shellcheck disable=SC2086
  exec clang-format --dry-run -Werror $files
fi
# shellcheck disable=SC2086
clang-format -i $files
