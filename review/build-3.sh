#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start besides the system: their stand-ins are Python, so this checks and compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in ['standin3.py', *sorted(glob.glob('1[1-5]/case.py'))]:
    with open(path) as file:
        compile(file.read(), path, 'exec')
    print('checked', path)
PYTHON
