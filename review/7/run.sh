#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cypressgap ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world quota . review/7/record.txt
