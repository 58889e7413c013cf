#!/bin/sh
# Builds the stand-ins and the player of the cases.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/harness ./review/harness
