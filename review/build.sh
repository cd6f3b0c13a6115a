#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs the standard library alone, and no network.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standin .
