#!/usr/bin/env bash
# Builds the stand-ins of the cases: clients, workers, the operator and the platform that starts
# the daemons. The daemons themselves are built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/_standin
