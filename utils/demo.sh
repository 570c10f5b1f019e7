#!/usr/bin/env bash
# The main job on stand-ins; exits 0 only if every step held.
set -eu
cd "$(dirname "$0")/.."
exec build/main/unittests/process/mangoport_demo "${1:-examples/kuratorium/fleet.toml}"
