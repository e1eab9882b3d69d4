#!/usr/bin/env bash
# Runs clang-tidy over the given sources, several at a time.
# Usage: tools/lint.sh BUILD_FOLDER FILE...
set -euo pipefail
build=$1
shift
printf '%s\n' "$@" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>&1 |
  { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; }
