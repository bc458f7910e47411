#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the project's programs: stand-ins
# in Python 3, of which only the standard library is used. They need no build; this checks them.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - "$here" <<'PY'
import glob
import sys
for path in sorted(glob.glob(sys.argv[1] + "/standins-2/*.py") + glob.glob(sys.argv[1] + "/[4-8]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
