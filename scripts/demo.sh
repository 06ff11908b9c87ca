#!/usr/bin/env bash
# Sets up the environment and runs the demo: with the given options, or once for each sample site.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="$(scripts/setup.sh)"
if [ "$#" -gt 0 ]; then
  exec "$venv/bin/python" -m eelgrassferry demo "$@"
fi
for site in uy-sur lower-mainland; do
  "$venv/bin/python" -m eelgrassferry demo --site "$site"
done
