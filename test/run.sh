#!/usr/bin/env bash
# Runs all tests with a fixed seed. Those named in KNOWN-RED.txt are passed over, and printed.
#
# A line of KNOWN-RED.txt is: test text | command and seed | what was seen | issue.
set -eu
cd "$(dirname "$0")/.."
seed=${SEED:-1}
echo "seed $seed"
export DRAGONFLYROUTE_SEED=$seed
skip=()
if [ -f KNOWN-RED.txt ]; then
  while IFS='|' read -r name _; do
    [ -n "$name" ] && skip+=(-ginkgo.skip="${name%% }")
  done < <(grep -v '^#' KNOWN-RED.txt)
  echo "known red, passed over:"
  cat KNOWN-RED.txt
fi
packages=$(go list -f '{{if .XTestGoFiles}}{{.ImportPath}}{{end}}' ./...)
# shellcheck disable=SC2086
go test -count=1 -timeout 20m "$@" $packages -ginkgo.seed="$seed" "${skip[@]}"
