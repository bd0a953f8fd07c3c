#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-stand ] || [ ! -x target/crank-gateway ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
exec target/review-stand usage review/6
