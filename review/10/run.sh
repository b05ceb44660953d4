#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
exec timeout 110 python3 review/10/case.py
