#!/usr/bin/env bash
# Plays the case: a request that crashes the searchers that run it comes again and again, and
# its caller leaves before the searcher has ended. TROUBLE=0 lets the caller wait for its
# answer. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rhubarbreeld ] && [ -x target/review-2/stand2 ] || exit 2
exec target/review-2/stand2 poison "$here/record.txt"
