#!/usr/bin/env bash
# Builds target/review-3/review-3-case, which the scripts of review/11 to review/13 start. Run it
# after the build line of deploy/system.toml: the product's library comes from there.
set -euo pipefail
cd "$(dirname "$0")/.."
library=target/source/core/libkumquatgap.a
if [ ! -f "$library" ]; then
  echo "$library is missing: run the build line of deploy/system.toml first" >&2
  exit 2
fi
out=target/review-3
mkdir -p "$out"
packages=(libevent absl_flags absl_flags_parse absl_flags_usage absl_strings absl_time inih libxxhash libcrypto)
read -ra flags <<<"$(pkg-config --cflags "${packages[@]}")"
read -ra libraries <<<"$(pkg-config --libs "${packages[@]}")"
sources=(review/programs-3/*.cpp tests/failures/process.cpp tests/stand_ins/key_value_table.cpp
  tests/stand_ins/platform_store.cpp tests/stand_ins/scripted_target.cpp tests/stand_ins/target_answers.cpp)
objects=()
for it in "${sources[@]}"; do
  object=$out/$(basename "${it%.cpp}").o
  objects+=("$object")
  "${CXX:-g++}" -std=c++20 -O1 -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -DFMT_SHARED -Wall -Wextra \
    -Isource/core -Isource "${flags[@]}" -c "$it" -o "$object" &
done
for job in $(jobs -p); do wait "$job"; done
"${CXX:-g++}" "${objects[@]}" "$library" "${libraries[@]}" -lhttp_parser -lnng -lspdlog -lfmt -lpthread \
  -o "$out/review-3-case"
echo "built $out/review-3-case"
