#!/usr/bin/env bash
# Sets up the environment and runs all unit tests and scenarios.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
exec "$venv/bin/python" scripts/run_tests.py "$@"
