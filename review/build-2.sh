#!/usr/bin/env bash
# Builds the stand-ins of the second review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand2 ./review/stand2
