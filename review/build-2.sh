#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig review/rig-2/testdata/*.go
