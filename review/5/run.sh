#!/bin/sh
# Plays the case `endless-program` against the project's processes; see claim.txt. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins endless-program review/5/record.txt
