#!/usr/bin/env bash
# Builds what the scripts of this review start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3-rig ./review/rig3
