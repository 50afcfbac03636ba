#!/usr/bin/env bash
# Prepares what the scripts of review/6 and later start besides the program of deploy/system.toml. Their stand-ins are
# in review/lib-2, need Python 3.11 and nothing else, and are not compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import asyncio, sys; sys.exit(not hasattr(asyncio, "timeout"))'
