#!/bin/sh
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
set -eu
cd "$(dirname "$0")"
python=../../.venv/bin/python
[ -x "$python" ] || exit 2
exec "$python" case.py
