#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0: without the disruption.
command -v python3 >/dev/null || exit 2
exec python3 "$(dirname "$0")/test.py"
