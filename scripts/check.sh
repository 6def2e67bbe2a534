#!/usr/bin/env bash
# Formatter and linter over the project's own files, and a search for the
# platform's words outside platform/; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror
wire_words='"(/run-start|/run-stop|/hold|/log-|keyed\.|Expect-Instance|Deadline-Ms|clock_ms|until_ms|last_seen|best_effort|mem_mb|est_runtime_ms)'
if git grep -nE "$wire_words" -- src daemon standin tools bench model; then
  echo "words of the platform outside platform/" >&2
  exit 1
fi
git ls-files 'src/*.cpp' 'platform/*.cpp' 'model/*.cpp' 'daemon/*.cpp' 'standin/*.cpp' 'tools/*.cpp' 'bench/*.cpp' \
  | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' 2>/dev/null
echo "format and lint clean"
