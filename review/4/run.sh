#!/bin/sh
# TROUBLE=0 leaves the kill of the core out.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
