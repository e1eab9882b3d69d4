#!/usr/bin/env bash
# Checks every model in spec/: spin must find no error in it, and must find one in each mutation
# (MUTATION=1 up to the largest number that the model compares it with). A model without one fails.
set -euo pipefail
shopt -s inherit_errexit
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Prints the verifier's "errors:" count for a model; fails when the search was not complete.
count_errors() { # MODEL MUTATION
  local build="$folder/$(basename "$1" .pml)-$2"
  mkdir "$build"
  cp "$1" "$build/model.pml"
  (
    cd "$build"
    spin -DMUTATION="$2" -a model.pml >spin.log
    cc -O2 -w -DSAFETY -DMEMLIM=2048 -o verifier pan.c
    ./verifier -m1000000 >verifier.log
    if grep -qE 'max search depth too small|Search not completed|out of memory|reached -DMEMLIM' verifier.log &&
      grep -q 'errors: 0' verifier.log; then
      echo "$1: search not complete" >&2
      exit 1
    fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' verifier.log
  )
}

for model in spec/*.pml; do
  errors=$(count_errors "$model" 0)
  [ "$errors" = 0 ] || { echo "$model: $errors errors" >&2; exit 1; }
  echo "$model: no errors"
  mutations=$(grep -oE 'MUTATION (==|!=) [0-9]+' "$model" | tr -dc '0-9\n' | sort -n | tail -1 || true)
  [ -n "$mutations" ] || { echo "$model: has no mutation" >&2; exit 1; }
  for mutation in $(seq 1 "$mutations"); do
    errors=$(count_errors "$model" "$mutation")
    [ "${errors:-0}" != 0 ] || { echo "$model: MUTATION=$mutation found no error" >&2; exit 1; }
    echo "$model: MUTATION=$mutation refuted"
  done
done
