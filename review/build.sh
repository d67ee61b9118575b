#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file, which leaves the
# project's library in target/.
set -eu
cd "$(dirname "$0")/.."
packages="talloc tevent libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash"
mkdir -p target/review
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -Isrc -pthread \
	$(pkg-config --cflags $packages) review/*.c target/liblavenderpass.a \
	-o target/review/standin $(pkg-config --libs $packages) -lcyaml -lyaml -lm -pthread
