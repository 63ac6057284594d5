#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out and the rule must hold. What was sent, answered
# and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
FOLDER=review/3
TROUBLE="${TROUBLE:-1}"
RECORD="$FOLDER/record.txt"
if [ ! -d target/deps ]; then
    echo "could not run: target/deps is missing, build first" | tee "$RECORD"
    exit 2
fi
PYTHONPATH=target/deps exec python3 "$FOLDER/case.py" --trouble "$TROUBLE" --record "$RECORD"
