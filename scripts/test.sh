#!/usr/bin/env bash
# Sets up the environment and runs the unit tests and the scenarios, or only the unit tests whose id
# contains the argument.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
exec "$venv/bin/python" scripts/run_tests.py "$@"
