#!/usr/bin/env bash
# Creates the virtual environment (EELGRASSFERRY_VENV, default .venv) and prints its path. Installs
# the requirements again only if their checksum has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${EELGRASSFERRY_VENV:-.venv}"
stamp="$venv/requirements.sum"
checksum="$(cat requirements.txt requirements-dev.txt | sha256sum)"
if [ "$(cat "$stamp" 2>/dev/null)" != "$checksum" ]; then
  python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet -r requirements-dev.txt
  echo "$checksum" >"$stamp"
fi
echo "$venv"
