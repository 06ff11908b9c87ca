#!/bin/sh
# Run the script of a case five times with the disruption and once without, and print the exit codes.
cd "$(dirname "$0")" || exit 2
kept=$(mktemp)
for run in 1 2 3 4 5; do
    "$1/run.sh"
    echo "case $1, run $run: exit code $?"
done
cp "$1/record.txt" "$kept"
TROUBLE=0 "$1/run.sh"
echo "case $1 without the disruption: exit code $?"
cat "$kept" > "$1/record.txt"
rm "$kept"
