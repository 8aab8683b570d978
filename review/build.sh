#!/usr/bin/env bash
# Builds the stand-ins and clients of all scripts. Needs no network: the module has
# no dependencies.
set -eu
cd "$(dirname "$0")/testdata/kit"
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../bin/review-kit .
