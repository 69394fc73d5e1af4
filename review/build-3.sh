#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -ldflags=-linkmode=external -o target/review-3/standin3 ./review/_standin3
