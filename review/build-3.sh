#!/bin/sh
# Builds what the scripts of the third review start, into target/. The build of the deploy file has
# to come first.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/lavenderpass
mkdir -p target/review-3
packages="libmicrohttpd libcurl glib-2.0 jansson"
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -pthread \
	$(pkg-config --cflags $packages) review/standins-3/*.c -o target/review-3/play \
	$(pkg-config --libs $packages)
