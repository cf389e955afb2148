#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-7
[ -x "$program" ] && [ -x target/heatherquay ] || exit 2
timeout 115 "$program" review/7/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
