#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python of the standard library, so that it is enough
# to compile them; the build of the deploy file has run before.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
[ -x "$python" ] || python=python3
"$python" -m compileall -q review/support2
for folder in 6 7 8 9 10; do
    [ ! -f "review/$folder/case.py" ] || "$python" -m compileall -q "review/$folder/case.py"
done
