#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout 118 python3 -B case.py
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
