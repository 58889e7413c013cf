#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o bin/review-2 ./review/rig2
