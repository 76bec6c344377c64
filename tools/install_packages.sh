#!/usr/bin/env bash
# Installs what the build needs, when something is missing.
set -euo pipefail
packages=(cmake ninja-build g++ pkg-config curl make git
  libevent-dev libhttp-parser-dev libnng-dev libabsl-dev libboost-dev libspdlog-dev libfmt-dev
  libinih-dev nlohmann-json3-dev libxxhash-dev libcriterion-dev librapidcheck-dev libssl-dev
  clang-format clang-tidy)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
