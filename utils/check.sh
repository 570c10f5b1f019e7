#!/usr/bin/env bash
# Every test of the main build; entries of KNOWN-RED.txt are passed over and printed.
set -u
cd "$(dirname "$0")/.."
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "Known to be red:"
  cat KNOWN-RED.txt
  skip=$(grep -oE '^test: [A-Za-z0-9_.]+' KNOWN-RED.txt | cut -d' ' -f2 | paste -sd'|' -)
fi
ctest --test-dir build/main --output-on-failure ${skip:+-E "^($skip)$"} || exit 1
utils/soak.sh build/main 3 5000
