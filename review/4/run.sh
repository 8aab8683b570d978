#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build.sh. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 116 review/bin/review-kit junk review/4
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
