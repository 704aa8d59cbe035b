#!/usr/bin/env bash
# Plays this folder's case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/rhubarbreeld target/review3-rig; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review3-rig silent-store target/rhubarbreeld review/13/record.txt "${TROUBLE:-1}"
