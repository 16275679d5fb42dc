#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$folder/.." PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
