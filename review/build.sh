#!/bin/sh
# Builds the stand-ins of the cases. They are Python files that use the standard library only, so this compiles them
# with the interpreter of the build of the deploy file, which has to run first.
cd "$(dirname "$0")" || exit 2
test -x ../.venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
exec ../.venv/bin/python -m compileall -q stand_ins [1-3]
