#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. They need only g++ and the Boost packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview/standin)
[ target/review/json.o -nt review/standin/json.cpp ] || g++ "${flags[@]}" -c review/standin/json.cpp -o target/review/json.o
for source in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/json.o -pthread -o "target/review/case-$number"
done
