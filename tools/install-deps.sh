#!/usr/bin/env bash
# Installs what the build needs from Debian's packages; does nothing if all is there.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache python3 pkg-config clang-format clang-tidy curl
  libwebsocketpp-dev libmicrohttpd-dev libcurl4-openssl-dev prometheus-cpp-dev
  libboost1.81-dev libboost-program-options1.81-dev libboost-log1.81-dev
  libboost-system1.81-dev libboost-thread1.81-dev libboost-filesystem1.81-dev
  librapidcheck-dev libabsl-dev libpcg-cpp-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
