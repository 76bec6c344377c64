#!/usr/bin/env bash
# Scores the sites of the regression set on the users' bench, one after the other.
# FLEETBENCH is the bench's program, SITES the folder that holds the site files' folders.
set -euo pipefail
: "${FLEETBENCH:?the path of the bench\'s program}"
: "${SITES:?the folder of the sites}"
sites=(
  shifted/tuuz-router-now-grown
  large/tuuz-router-large
  further/oosterhout-twin
  further-grown/oosterhout-twin-grown
  grown/tuuz-router-grown
  grown/railhook-chc-grown
)
for it in "${sites[@]}"; do
  "$FLEETBENCH" score "$SITES/$it.toml" --why "${WHY:-regression}" "$@"
done
