#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. What was sent, answered and run goes
# to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/release/review-standin
record=review/2/record.txt
[ -x "$standin" ] && [ -x target/release/savorylaned ] || exit 2
rm -f "$record"
exec "$standin" foreign-entry "$record" "${TROUBLE:-1}"
