#!/bin/sh
# Builds the stand-ins of this review's cases. Needs the compiler only.
set -e
cd "$(dirname "$0")/support-3"
mkdir -p build
for source in *.cc; do
  g++ -std=c++20 -O1 -pthread -Wall "$source" -o "build/${source%.cc}"
done
