#!/bin/sh
# Plays the case that claim.txt describes, without the disruption if TROUBLE=0. Ends with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run. Build first: deploy/system.toml, build-3.sh.
set -u
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../.. || exit 2
program=target/review-3/review-3
if [ ! -x "$program" ]; then
    echo "run review/build-3.sh first" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
player=
cleanup() {
    [ -z "$player" ] || kill -9 "$player" 2>/dev/null
    for file in "$TMPDIR"/*/pids; do
        [ -f "$file" ] || continue
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$file"
    done
    rm -rf "$TMPDIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
"$program" wiped-in-turn "$PWD" "$record" &
player=$!
wait "$player"
result=$?
player=
exit "$result"
