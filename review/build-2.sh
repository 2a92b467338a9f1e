#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p bin
GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/stand .
