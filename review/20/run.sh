#!/bin/sh
# Writes what was sent, answered and run to record.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-4/play removed-route record.txt
