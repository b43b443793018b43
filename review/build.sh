#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o bin/ ./1 ./2 ./3
