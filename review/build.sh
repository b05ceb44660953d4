#!/bin/sh
# The stand-ins are Python modules that use the standard library only. Building
# them means to check that this Python can compile them.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiled", path)
'
