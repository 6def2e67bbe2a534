#!/usr/bin/env bash
# Builds the stand-ins and the programs of all cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release -DHEATHERMOOR_TESTS=OFF -DHEATHERMOOR_BENCH=OFF \
    -DCMAKE_PROJECT_INCLUDE="$PWD/review/deferred.cmake"
cmake --build target/review --target review-cases
