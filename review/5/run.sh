#!/bin/sh
# Plays the case `endless-program` against the project's processes; see claim.txt. Run review/build.sh first.
# With TROUBLE=0, the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0) trouble=without-disruption ;;
    *) trouble=with-disruption ;;
esac
exec target/review/standins endless-program review/5/record.txt "$trouble"
