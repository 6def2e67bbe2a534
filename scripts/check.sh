#!/usr/bin/env bash
# Formatter and linter over the project's own files; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror
git ls-files 'src/*.cpp' 'daemon/*.cpp' 'standin/*.cpp' 'tools/*.cpp' 'bench/*.cpp' \
  | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' 2>/dev/null
echo "format and lint clean"
