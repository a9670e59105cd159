#!/bin/sh
# The stand-ins of the second review are one Python file, which needs no build: checks that it can be read and that the system is built.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "review"); import standin2' || exit 1
test -x target/src/hyssop-node || { echo 'target/src/hyssop-node is missing: run the build of deploy/system.toml first'; exit 1; }
