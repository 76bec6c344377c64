#!/usr/bin/env bash
# Runs the stateful models with fresh seeds for a time: tools/fuzz.sh BUILD SECONDS [SEED]
set -euo pipefail
build=$1 seconds=$2 seed=${3:-$(date +%s)}
end=$((SECONDS + seconds))
rounds=0
while [ "$SECONDS" -lt "$end" ]; do
  echo "seed=$seed"
  for it in "$build"/bin/fuzz_*; do
    # Whether a mutation is noticed depends on the count of cases, so those stay in the tests.
    RC_PARAMS="seed=$seed max_success=400 max_size=200" "$it" --jobs 1 --filter '*/!(notices*)' >"$build/fuzz.log" 2>&1 ||
      { echo "failed: $it seed=$seed"; tail -n 60 "$build/fuzz.log"; exit 1; }
  done
  seed=$((seed + 1))
  rounds=$((rounds + 1))
done
echo "rounds=$rounds, 400 cases of each property a round, no failure"
