#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
GOWORK=off GOPROXY=off GOFLAGS= go build -o target/review-standin review/standin/*.go
