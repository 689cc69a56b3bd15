#!/bin/sh
# Plays the case `slow-turn` against the project's processes; see claim.txt. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins slow-turn review/3/record.txt
