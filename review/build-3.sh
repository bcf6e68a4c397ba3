#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
flags=(-O1 -g -std=gnu11 -Wall -Wextra -D_GNU_SOURCE -I.)
# shellcheck disable=SC2046
gcc "${flags[@]}" -o "$out/store" standins/mesh/*.c $(pkg-config --cflags --libs json-c libsodium popt) -pthread
gcc "${flags[@]}" -o "$out/backend" review/stand-ins-3/backend.c standins/mesh/http.c -pthread
