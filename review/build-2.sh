#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/4/stand
