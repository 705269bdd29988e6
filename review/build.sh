#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review/standins .
