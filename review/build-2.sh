#!/bin/sh
# Builds the stand-ins of the second review: they need only the standard library of the interpreter that the build line
# of the deploy file has installed, so they are compiled here, and nothing else is to be done.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q stand_ins_2 $(ls -d [0-9]* | awk '$1 >= 6')
