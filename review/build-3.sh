#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, which are Python files
# of this folder: nothing is installed, and a file with a fault is told now.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile fleet_3.py 11/run.py 12/run.py 13/run.py 14/run.py 15/run.py
