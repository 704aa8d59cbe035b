#!/usr/bin/env bash
# Plays the case: half of the daemons are killed at once, and before they are back the store
# removes the entries of searchers that leave. TROUBLE=0 leaves out the kills. Exits with 1 if
# the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rhubarbreeld ] && [ -x target/review-2/stand2 ] || exit 2
exec target/review-2/stand2 gone "$here/record.txt"
