#!/usr/bin/env bash
# Runs each fuzz target for SECONDS over its seed corpus: fuzz.sh BUILD SECONDS.
set -eu
cd "$(dirname "$0")/.."
for program in "$1"/fuzz/*_fuzz; do
  name=$(basename "$program")
  work="$1/corpus/$name"
  mkdir -p "$work" "unittests/corpus/$name"
  "$program" -max_total_time="$2" -seed=1 -rss_limit_mb=2048 "$work" "unittests/corpus/$name" >"$1/$name.log" 2>&1 ||
    { tail -30 "$1/$name.log"; echo "fuzz: $name FAILED"; exit 1; }
  grep -E "^Done|runs in" "$1/$name.log" | sed "s/^/fuzz: $name: /"
done
