#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
flags=(-O1 -g -std=gnu11 -Wall -Wextra -D_GNU_SOURCE -I.)
# shellcheck disable=SC2046
gcc "${flags[@]}" -o "$out/store" standins/mesh/*.c $(pkg-config --cflags --libs json-c libsodium popt) -pthread
# The backend also takes requests with long header fields.
mkdir -p "$out/include/standins/mesh"
sed 's/^#define HTTP_HEAD_BYTES .*/#define HTTP_HEAD_BYTES 65536/' standins/mesh/http.h >"$out/include/standins/mesh/http.h"
gcc -I"$out/include" "${flags[@]}" -o "$out/backend" review/stand-ins-3/backend.c standins/mesh/http.c -pthread
