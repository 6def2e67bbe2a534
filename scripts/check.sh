#!/usr/bin/env bash
# Checks the format of all C++ files, lints the sources except tests, and searches for
# names of the platform's protocol outside platform/ and tests; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror
wire_words='"(/run-start|/run-stop|/hold|/log-|keyed\.|Expect-Instance|Deadline-Ms|clock_ms|until_ms|last_seen|best_effort|mem_mb|est_runtime_ms)'
if git grep -nE "$wire_words" -- src daemon standin tools bench model; then
  echo "names of the platform's protocol found outside platform/" >&2
  exit 1
fi
git ls-files 'src/*.cpp' 'platform/*.cpp' 'model/*.cpp' 'daemon/*.cpp' 'standin/*.cpp' 'tools/*.cpp' 'bench/*.cpp' \
  | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' 2>/dev/null
echo "format and lint checks passed"
