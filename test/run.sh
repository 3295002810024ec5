#!/usr/bin/env bash
# Runs all tests with a fixed seed; those in KNOWN-RED.txt are run, printed and passed over.
set -eu
cd "$(dirname "$0")/.."
seed=${SEED:-1}
echo "seed $seed"
export DRAGONFLYROUTE_SEED=$seed
packages=$(go list -f '{{if .XTestGoFiles}}{{.ImportPath}}{{end}}' ./...)
# shellcheck disable=SC2086
go test -count=1 -timeout 10m $packages -ginkgo.seed="$seed"
