#!/usr/bin/env bash
# Builds foxtailturnd for the platform with AddressSanitizer and UndefinedBehaviorSanitizer and runs
# process tests and two seeds of the soak on it. Usage: tools/sanitize.sh BUILD_FOLDER
# Leaks are not checked: a process ends with its idle connections, whose handlers own them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1/sanitize
cmake -S . -B "$build" -G Ninja -DFOXTAILTURN_FLEET_ONLY=ON -DCMAKE_BUILD_TYPE=None \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  -DFOXTAILTURN_SANITIZE=address,undefined \
  -DCMAKE_CXX_FLAGS="-O1 -g1 -fno-sanitize-recover=undefined" >/dev/null
cmake --build "$build" --target foxtailturnd_fleet
export ASAN_OPTIONS=detect_leaks=0
python3 -B platform/testing/answers_test.py "$build" UnstatedEnd BrokenOff Bodiless EndInsideEvent
python3 -B platform/testing/resume_test.py "$build"
python3 -B platform/testing/soak.py "$build" --seeds 1-2
