#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into review/bin/. They use the standard library only.
set -eu
cd "$(dirname "$0")/tools"
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../bin/reviewcase .
