#!/bin/bash
# Builds the stand-ins of the second review's cases, which need no module but this one.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/tools-2"
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -o "$root/target/review-2/trial" .
