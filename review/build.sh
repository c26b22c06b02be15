#!/bin/sh
# Builds the stand-ins of the review's cases: they need the standard library only, so they are compiled.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
exec .venv/bin/python -m compileall -q review
