#!/bin/bash
# Builds the stand-ins of the third review's cases, which need no module but this one.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
cd "$root/review/third/tools"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o "$root/target/review-3/trial" .
