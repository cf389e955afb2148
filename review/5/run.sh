#!/usr/bin/env bash
# Plays case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 1 118 target/review/case-5 review/5/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
echo "the case couldn't run (status $status)"
exit 2
