#!/usr/bin/env bash
# Builds what the scripts of the review start beside the project's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/1/standin
