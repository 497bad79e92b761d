#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH=.. exec ../../.venv/bin/python case.py
