#!/bin/sh
# Builds the stand-ins of the review's scripts into build-review/. The node comes from the build of
# the deploy file. Needs the packages of that file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for main in review/[1-5]/main.c; do
	[ -e "$main" ] || continue
	n=$(basename "$(dirname "$main")")
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I. -o "build-review/case-$n" "$main" \
		review/common/stage.c standins/mesh/http.c standins/mesh/kv.c \
		$(pkg-config --cflags --libs json-c libsodium) -lpthread
done
