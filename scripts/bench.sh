#!/usr/bin/env bash
# Runs the placement and slope benchmarks; writes their tables, the plot (if gnuplot is installed) and the capacity page.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}
mkdir -p docs/bench
commit=$(git rev-parse --short HEAD)
{
  echo "commit=$commit"
  "$bin/bench/bench-placement" --seed 1 --data "$bin/placement.dat"
} | tee docs/bench/placement.txt
"$bin/bench/bench-slopes" --commit "$commit" --out docs/bench/slopes.json | tee docs/bench/slopes.txt
"$bin/heathermoor-capacity" --slopes docs/bench/slopes.json > docs/CAPACITY.md
if command -v gnuplot >/dev/null; then gnuplot -e "data='$bin/placement.dat'; out='docs/bench/placement.svg'" scripts/placement.gnuplot; fi
