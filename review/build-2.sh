#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review "$source" -o "target/review-2/case-$number" -lboost_json -lpthread &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
