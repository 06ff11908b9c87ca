#!/usr/bin/env bash
# Runs the script of one case five times with its trouble and once without: review/five-2.sh N
set -u
cd "$(dirname "$0")/.."
for _ in 1 2 3 4 5; do
  "review/$1/run.sh"
  echo "case $1: exit code $?"
done
TROUBLE=0 "review/$1/run.sh"
echo "case $1 without trouble: exit code $?"
