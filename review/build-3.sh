#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up. They are Python scripts that use the standard library alone, so that
# there is nothing to compile; this checks that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
for script in standin-3/*.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$script"
done
