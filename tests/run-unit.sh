#!/usr/bin/env bash
# Runs every unit and randomised test program of a build folder, four at a time:
# tests/run-unit.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for t in "$build"/test_*; do
	[ -x "$t" ] && [ "$(basename "$t")" != test_scripts ] && printf '%s\n' "$t"
done | xargs -P 4 -I{} sh -c '{} --color=never >"$1/$(basename {}).log" 2>&1; echo $? >"$1/$(basename {}).rc"' sh "$out"
passed=0
failed=0
for rc in "$out"/*.rc; do
	name=$(basename "$rc" .rc)
	line=$(grep 'Synthesis' "$out/$name.log" | tail -n 1)
	n=$(printf '%s\n' "$line" | sed -n 's/.*Passing: \([0-9]*\).*/\1/p')
	passed=$((passed + ${n:-0}))
	if [ "$(cat "$rc")" -ne 0 ]; then
		failed=$((failed + 1))
		cat "$out/$name.log"
	fi
	printf '%s: %s\n' "$name" "${line:-no result, exit $(cat "$rc")}"
done
printf '%d passed, %d failed\n' "$passed" "$failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
