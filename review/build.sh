#!/usr/bin/env bash
# The stand-ins are Python 3 programs that need the standard library alone; nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]/*.py <<'CHECK'
import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
