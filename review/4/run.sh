#!/bin/sh
# LOST: a planned stop cuts answers where a control host is stopped beside it.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py 2>/dev/null
