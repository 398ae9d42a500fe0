#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts start. The deploy file's build makes the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for d in review/[1-5]/; do
  n=$(basename "$d")
  [ -f "$d/main.go" ] && go build -o "review/bin/case$n" "./review/$n"
done
