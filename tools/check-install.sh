#!/usr/bin/env bash
# Installs the build into a temporary folder and builds and runs examples/embed_limiter against it.
# Usage: tools/check-install.sh BUILD_FOLDER
set -euo pipefail
build=$(realpath "$1")
cd "$(dirname "$0")/.."
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$build" --prefix "$prefix/installed" >/dev/null
cmake -S examples/embed_limiter -B "$prefix/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$prefix/installed" >/dev/null
cmake --build "$prefix/build" >/dev/null
"$prefix/build/embed_limiter"
