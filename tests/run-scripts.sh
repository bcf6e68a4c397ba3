#!/usr/bin/env bash
# Runs the scripted runs over real processes: tests/run-scripts.sh BUILD TSAN_BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -x "$1/test_scripts" ]; then
	echo "no scripted runs yet"
	exit 0
fi
BR_BUILD=$1 "$1/test_scripts" --color=never -j 2 || exit 1
BR_BUILD=$2 "$1/test_scripts" --color=never -j 2
