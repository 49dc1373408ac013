#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/harness-2 ./review/harness-2
