#!/usr/bin/env bash
# Builds a single executable file, build/eelgrassferry by default, from the virtual environment.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
exec "$venv/bin/python" scripts/build_zipapp.py "${1:-build/eelgrassferry}"
