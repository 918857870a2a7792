#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/kiteloft ] && [ -x bin/review-9 ] || exit 2
exec bin/review-9
