#!/usr/bin/env bash
# Sets up the environment and runs the embedded deployment.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
exec "$venv/bin/python" -m eelgrassferry demo "$@"
