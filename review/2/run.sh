#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ]; then
    echo "could not run: target/deps is missing, build first"
    exit 2
fi
PYTHONPATH=target/deps exec python3 review/2/case.py
