#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the stand-ins are Python, run with the
# packages in target/deps, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/support_2 eelgrassferry/platform/tests \
  eelgrassferry/http
PYTHONPATH=target/deps:review python3 -c "import support_2.fleet, support_2.callers"
