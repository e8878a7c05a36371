#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -o ../../target/standin-3 .
