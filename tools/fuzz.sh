#!/usr/bin/env bash
# Builds the fuzz target of the platform's decoders with libFuzzer and runs it on its corpus.
# Usage: tools/fuzz.sh BUILD_FOLDER [RUNS]. The same seed and number of runs give the same verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1/fuzz
runs=${2:-60000}
rm -rf "$build" # a compilation that fails must not leave an older object to link
mkdir -p "$build"
sources=(platform/fuzz/fleet_codec_fuzz.cpp platform/fields.cpp platform/fleet_rows_codec.cpp
  platform/message_codec.cpp platform/store_codec.cpp packages/gateway/agent_messages.cpp packages/net/endpoint.cpp
  packages/gateway/report_update.cpp
  packages/gateway/serving_config.cpp packages/retry/suspect_record.cpp packages/base/hash.cpp
  packages/http1/message.cpp packages/http1/message_parser.cpp
  packages/base/error.cpp packages/base/json.cpp)
objects=()
for source in "${sources[@]}"; do
  object=$build/$(basename "$source" .cpp).o
  objects+=("$object")
  ccache clang++ -std=c++20 -O1 -g -fsanitize=fuzzer-no-link,address,undefined \
    -fno-sanitize-recover=undefined -Ipackages -I. -c "$source" -o "$object" &
done
wait
clang++ -fsanitize=fuzzer,address,undefined "${objects[@]}" -lhttp_parser -lcrypto -lxxhash -o "$build/fleet_codec_fuzz"
corpus=$(mktemp -d) # new inputs go here, so that a run leaves the repository as it is
trap 'rm -rf "$corpus"' EXIT
cp platform/fuzz/corpus/* "$corpus"
"$build/fleet_codec_fuzz" -seed=1 -runs="$runs" -max_len=2048 -print_final_stats=0 -verbosity=0 \
  -artifact_prefix="$build/" "$corpus"
echo "fuzz: $runs runs, no finding"
