#!/bin/sh
# Every stand-in is a Python script that runs with target/deps alone; this checks that each compiles.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
import review.support.fleet
import review.support.servers
PY
