#!/bin/bash
# Checks that the stand-ins compile. They are Python with its standard library only; nothing else is built.
cd "$(dirname "$0")" || exit 1
exec python3 -B - <<'PYTHON'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
PYTHON
