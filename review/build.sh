#!/bin/sh
# Compiles the stand-ins of the cases, and leaves nothing behind. It needs only the build of the deploy file.
cd "$(dirname "$0")" || exit 2
cache=$(mktemp -d) || exit 2
PYTHONPYCACHEPREFIX="$cache" ../.venv/bin/python -m compileall -q .
code=$?
rm -rf "$cache"
exit $code
