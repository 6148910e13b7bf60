#!/bin/sh
# Compiles the stand-ins of the cases. It needs nothing beyond the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q .
