#!/usr/bin/env bash
# Regenerates packages/wire/generated from packages/wire/foxtailturn.proto.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" foxtailturn.proto
