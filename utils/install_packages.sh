#!/usr/bin/env bash
# Installs every Debian package that the build, the checks and the demo need.
# Does nothing when all of them are there already.
set -eu
packages="g++ clang clang-format clang-tidy clang-tools cmake ninja-build make
  pkg-config ccache mold curl python3 python3-yaml libclang-rt-14-dev
  libasio-dev libhttp-parser-dev libnghttp2-dev prometheus-cpp-dev libcpp-httplib-dev
  liblog4cplus-dev libboost1.81-dev libcriterion-dev libtomlplusplus-dev
  nlohmann-json3-dev libprotobuf-dev libxxhash-dev libssl-dev
  libbenchmark-dev"
missing=""
for it in $packages; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q "ok installed" ||
    missing="$missing $it"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $missing
