#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of deploy/system.toml: their stand-in, into target/.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-2 .
