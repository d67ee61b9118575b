#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
packages="talloc tevent libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash"
make -s -j6 BUILD=target target/liblavenderpass.a
mkdir -p target/review-2
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -Isrc -pthread \
	$(pkg-config --cflags $packages) review/standins-2/*.c target/liblavenderpass.a \
	-o target/review-2/play $(pkg-config --libs $packages) -lcyaml -lyaml -lm -pthread
