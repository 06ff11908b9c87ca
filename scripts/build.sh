#!/usr/bin/env bash
# Builds the one-file binary build/eelgrassferry from the installed environment.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
exec "$venv/bin/python" scripts/build_zipapp.py "${1:-build/eelgrassferry}"
