#!/usr/bin/env bash
# Runs every benchmark program and prints its rows.
set -eu
cd "$(dirname "$0")/.."
for program in build/main/bench/*_benchmark; do
  echo "== $(basename "$program")"
  "$program" --benchmark_color=false 2>/dev/null
done
