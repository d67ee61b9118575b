#!/bin/sh
# Exit status: 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1} target/review-2/play frozen-edge review/6/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
