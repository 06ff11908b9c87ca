#!/usr/bin/env bash
# Creates the virtual environment in .venv unless it is already complete.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${EELGRASSFERRY_VENV:-.venv}"
stamp="$venv/requirements.sum"
want="$(cat requirements.txt requirements-dev.txt | sha256sum)"
if [ "$(cat "$stamp" 2>/dev/null)" != "$want" ]; then
  python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet -r requirements-dev.txt
  echo "$want" >"$stamp"
fi
echo "$venv"
