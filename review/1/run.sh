#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 unanswered_moves.py
