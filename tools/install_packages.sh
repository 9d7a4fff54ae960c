#!/usr/bin/env bash
# Installs the missing build dependencies from Debian 12 packages.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy-16 curl python3
  libasio-dev libcereal-dev libboost-dev libtomlplusplus-dev libgflags-dev libfmt-dev
  libcpp-httplib-dev libhttp-parser-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev
  libgtest-dev libgmock-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run_as_root() { if [ "$(id -u)" -eq 0 ]; then "$@"; else sudo "$@"; fi; }
run_as_root apt-get update -q
run_as_root env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
