#!/usr/bin/env bash
# Builds what the scripts of the second review start.
#
# The stand-ins are fleet_2.py and proxy_2.py, which need only the standard library, so
# this checks that they compile.  The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for name in fleet_2.py proxy_2.py [0-9]*/case.py; do
  python3 - "$name" <<'PYTHON'
import sys
from pathlib import Path

name = sys.argv[1]
compile(Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
done
