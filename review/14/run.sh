#!/usr/bin/env bash
# Case 14. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/14/case.py
