#!/usr/bin/env bash
# Runs the program of review case N. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/skylarkd ]; then
	# The build command of deploy/system.toml.
	go build -ldflags=-linkmode=external -o target/ ./cmd/skylarkd || exit 2
fi
if [ ! -x "review/bin/case-$1" ]; then
	bash review/build.sh || exit 2
fi
timeout -k 2 115 "review/bin/case-$1"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
