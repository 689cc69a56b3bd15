#!/bin/sh
# Plays the case `slow-turn` against the project's processes; see claim.txt. Run review/build.sh first.
# With TROUBLE=0, the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0) trouble=without-disruption ;;
    *) trouble=with-disruption ;;
esac
exec target/review/standins slow-turn review/3/record.txt "$trouble"
