#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig review/rig-3/testdata/*.go
