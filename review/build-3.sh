#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start: compiles the stand-ins, the project's own among
# them, and checks that they run with the repository and target/deps alone. Run it after the build
# of deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'PY'
import compileall
import importlib
import sys

FOLDERS = ("eelgrassferry", "review/support_3")
NAMES = (
    "eelgrassferry.platform.tests.documents",
    "eelgrassferry.platform.tests.soak.free_ports",
    "eelgrassferry.platform.tests.standin_server",
    "review.support_3.crashing_engine",
    "review.support_3.deployment",
    "review.support_3.drill_store",
    "review.support_3.engine_in_trouble",
    "review.support_3.many_part_callers",
    "review.support_3.stream_callers",
)
if not all([compileall.compile_dir(folder, quiet=1) for folder in FOLDERS]):
    sys.exit("a source does not compile")
for name in NAMES:
    importlib.import_module(name)
PY
echo "built"
