#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.4.case
