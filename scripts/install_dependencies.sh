#!/usr/bin/env bash
# Installs what the build needs on a fresh Debian 12; does nothing when all of it is there.
set -euo pipefail
packages=(libboost1.81-dev libboost-json1.81-dev libcapnp-dev prometheus-cpp-dev
  libcxxopts-dev libspdlog-dev doctest-dev librapidcheck-dev libxxhash-dev
  libssl-dev libmimalloc-dev libbenchmark-dev ninja-build ccache cmake g++ python3
  clang-format clang-tidy curl iproute2)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update
apt-get install -y --no-install-recommends "${missing[@]}"
