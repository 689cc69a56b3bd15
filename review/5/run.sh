#!/bin/sh
# Plays the case `new-leader` against the project's processes; see claim.txt. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins new-leader review/5/record.txt
