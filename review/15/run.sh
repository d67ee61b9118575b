#!/bin/sh
# Case 15, see claim.txt. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: the same without the disruption. Build first: the deploy file, review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lavenderpass ] && [ -x target/review-3/play ] || exit 2
exec target/review-3/play cancel review/15/record.txt
