#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release -DHEATHERMOOR_TESTS=OFF -DHEATHERMOOR_BENCH=OFF \
  "-DCMAKE_PROJECT_heathermoor_INCLUDE=$PWD/review/standin-3/deferred.cmake"
cmake --build target/review-3 --target review-3
