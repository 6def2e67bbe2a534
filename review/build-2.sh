#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target heathermoor_standin
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
