#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off CGO_ENABLED=0 go build -o ../target/standin .
