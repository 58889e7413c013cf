#!/usr/bin/env bash
# Builds the program with which the cases 11 to 15 play. It has all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/rig3 ./review/_rig3
