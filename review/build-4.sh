#!/bin/sh
# Builds what the scripts of the fourth review start, into target/. The build of the deploy file has
# to come first.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/lavenderpass
mkdir -p target/review-4
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -pthread \
	$(pkg-config --cflags jansson) review/standins-4/*.c -o target/review-4/play \
	$(pkg-config --libs jansson)
