#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python -c "import httptools" || exit 2
exec .venv/bin/python review/9/case.py
