#!/bin/sh
# The stand-ins are Python (standard library only) and need no build; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -B - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins and cases compile")
CHECK
