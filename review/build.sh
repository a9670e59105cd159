#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python programs that need nothing but the standard library, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin.py ./*/test.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
