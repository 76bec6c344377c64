#!/usr/bin/env bash
# Builds the drivers and stand-ins of the second review's cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B target/review-second -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-second -j 6
