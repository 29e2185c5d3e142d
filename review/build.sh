#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts into target/review.
# Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/standins/*.cpp; do
  object="target/review/$(basename "$source" .cpp).o"
  g++ -std=c++17 -O1 -Wall -Wextra -I. -pthread -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for main in review/[1-5]/main.cpp; do
  number="$(basename "$(dirname "$main")")"
  g++ -std=c++17 -O1 -Wall -Wextra -I. -pthread "$main" "${objects[@]}" \
    -o "target/review/case_$number"
done
