#!/usr/bin/env bash
# Prints every table of docs/MEASURED.md; about two minutes. Nothing else should run meanwhile.
set -euo pipefail
bin=${BIN:-build/bin}
echo "machine: $(nproc) cores, $(uname -m)"
"$bin/spread_bench"
echo
"$bin/queue_bench"
echo
"$bin/path_bench"
