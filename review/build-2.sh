#!/usr/bin/env bash
# Builds and checks every stand-in that the scripts in review/4 to review/8 start. They are
# Python and need no compilation: the project's own log comes with the program, the rest lies
# in review/lab.py. What can't be imported fails here.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 - review/lab.py review/[4-8]/case.py <<'CHECK'
import importlib
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text("utf-8"), name, "exec")
sys.path.insert(0, "review")
for name in ("lab", "sassafrasdoor.platform.process"):
    importlib.import_module(name)
CHECK
