#!/usr/bin/env bash
# Fails when a source file is not formatted or the linter has a finding.
set -euo pipefail
build=$1
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"
git ls-files '*.cpp' | xargs -P 6 -n 4 clang-tidy -p "$build" --quiet
echo "format and lint: clean"
