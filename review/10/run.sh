#!/bin/sh
# Runs case 10 of the second review: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# It needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-cases-2 ] || exit 2
exec bin/review-cases-2 10 review/10/record.txt
