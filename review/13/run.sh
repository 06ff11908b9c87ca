#!/usr/bin/env bash
# Case 13. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/13/case.py
