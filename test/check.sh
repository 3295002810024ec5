#!/usr/bin/env bash
# Checks format, lint, the module files and the race detector.
set -eu
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
(cd tools && go build -o "$tools/" mvdan.cc/gofumpt github.com/golangci/golangci-lint/v2/cmd/golangci-lint)
unformatted=$("$tools/gofumpt" -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted:" >&2
  echo "$unformatted" >&2
  exit 1
fi
go vet ./...
"$tools/golangci-lint" run ./...
go mod tidy -diff
(cd tools && go mod tidy -diff)
seed=${SEED:-1}
export DRAGONFLYROUTE_SEED=$seed
packages=$(go list -f '{{if .XTestGoFiles}}{{.ImportPath}}{{end}}' ./state/... ./coordination/... ./transport/...)
# shellcheck disable=SC2086
go test -race -count=1 -timeout 10m $packages -ginkgo.seed="$seed"
