#!/usr/bin/env bash
# Runs every unit and randomised test program of a build folder: tests/run-unit.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
passed=0
failed=0
for t in "$build"/test_*; do
	[ -x "$t" ] && [ "$(basename "$t")" != test_scripts ] || continue
	out=$("$t" --color=never 2>&1)
	rc=$?
	line=$(printf '%s\n' "$out" | grep 'Synthesis' | tail -n 1)
	n=$(printf '%s\n' "$line" | sed -n 's/.*Passing: \([0-9]*\).*/\1/p')
	passed=$((passed + ${n:-0}))
	if [ $rc -ne 0 ]; then
		failed=$((failed + 1))
		printf '%s\n' "$out"
	fi
	printf '%s: %s\n' "$(basename "$t")" "${line:-no result, exit $rc}"
done
printf '%d passed, %d failed\n' "$passed" "$failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
