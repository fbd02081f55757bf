#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sf-instance ] && [ -x target/review-2/ids ] || exit 2
exec target/review-2/ids review/8/record.txt
