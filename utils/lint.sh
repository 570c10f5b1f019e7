#!/usr/bin/env bash
# Runs clang-tidy over every source file that the main build compiles, or over
# those whose path matches the argument.
set -eu
cd "$(dirname "$0")/.."
root=$(pwd)
pattern=${1:-"^$root/(lib|platform|tools|unittests|benchmarks)/"}
log=build/lint.log
mkdir -p build
if ! run-clang-tidy -quiet -p build/main "$pattern" >"$log" 2>&1; then
  grep -E "(error|warning):" "$log" | sort -u
  exit 1
fi
echo "lint: clean"
