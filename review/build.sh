#!/bin/sh
# Builds the stand-ins of review/. They are Python programs that use only its
# standard library, so they are only checked here.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "the stand-ins need Python 3.11 or later" >&2
  exit 1
}
for file in standins/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
