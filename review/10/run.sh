#!/usr/bin/env bash
# Runs the case of this folder on loopback addresses and writes record.txt beside this script.
# Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/cranberrydrumd ] || [ ! -x target/standin-2 ]; then
  echo "target/cranberrydrumd or target/standin-2 is not built"
  exit 2
fi
exec target/standin-2 replaced-route target/cranberrydrumd review/10/record.txt
