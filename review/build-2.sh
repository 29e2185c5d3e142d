#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  object="target/review-2/$(basename "$source" .cpp).o"
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
done
wait
"${CXX:-g++}" -pthread -o target/review-2/stage target/review-2/*.o
