#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. What was sent, answered
# and run goes to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/release/review-standin-2
record=review/8/record.txt
if [ ! -x "$standin" ] || [ ! -x target/release/savorylaned ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
rm -f "$record"
"$standin" banned-page "$record"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
