#!/usr/bin/env bash
# Builds the drivers of the cases, with the project's stand-ins that they use, into review/build.
# The programs under test are those of the deploy file's build, in target/bin.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j "${JOBS:-6}"
