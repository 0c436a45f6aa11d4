#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 4 and later start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= go build -o ../../target/review-2/standin ./*.go
