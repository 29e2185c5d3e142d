#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3. The daemon is
# built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread \
    -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
