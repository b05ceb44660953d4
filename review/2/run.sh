#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
