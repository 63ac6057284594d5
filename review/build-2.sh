#!/usr/bin/env bash
# Builds and checks every stand-in that the scripts in review/4 to review/8 start. They are
# Python: the project's own (store, log) come with the program, the others lie in review/lab.py.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q sassafrasdoor/platform sassafrasdoor/log review/lab.py
for case in review/[4-8]/case.py; do
    [ -e "$case" ] && python3 -m compileall -q "$case"
done
python3 -c 'import sys; sys.path.insert(0, "review"); import lab, sassafrasdoor.platform.process'
