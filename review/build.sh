#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 2 3; do
	go build -o "review/bin/case-$n" "./review/$n"
done
