#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r review/small_fleet target/review-2/small_fleet
rm -rf target/review-2/small_fleet/__pycache__
python3 -m compileall -q target/review-2
