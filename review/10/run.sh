#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2 ] && [ -x target/cuminbay ] || exit 2
exec env TROUBLE="${TROUBLE:-1}" bin/review-2 review/10
