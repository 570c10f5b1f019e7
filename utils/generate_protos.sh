#!/usr/bin/env bash
# Regenerates proto/generated from proto/mangoport; the result is committed.
# Needs protobuf-compiler, which the build itself does not.
set -eu
cd "$(dirname "$0")/../proto"
rm -rf generated
mkdir -p generated
protoc --cpp_out=generated mangoport/*.proto
