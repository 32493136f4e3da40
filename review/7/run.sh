#!/bin/sh
# Case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-7 ] || exit 2
exec target/review-7 -record review/7/record.txt
