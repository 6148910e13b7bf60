#!/bin/sh
# Builds the stand-ins of review/6 to review/10: they are Python, so that only their bytecode is compiled. It needs
# the build line of deploy/balancer.toml first, and no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/rig2.py review/6 review/7 review/8 review/9 review/10
