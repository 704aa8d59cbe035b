#!/usr/bin/env bash
# Plays the case: planned stops of daemons that freeze meanwhile, under requests that are not
# idempotent. TROUBLE=0 leaves out the freezes. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rhubarbreeld ] && [ -x target/review-2/stand2 ] || exit 2
exec target/review-2/stand2 refused "$here/record.txt"
