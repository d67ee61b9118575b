# Builds lavenderpass, its test tools, tests, benchmarks and manual pages.
#
#   make                  build/release/lavenderpass and the tools
#   make test             builds and runs all tests
#   make test VARIANT=asan|tsan   with a sanitizer
#   make format-check lint
#   make proto            regenerates the protobuf sources
#   make man              build/man/*.1 and *.5, by scdoc
#   make man-check        compares the manual pages with --help and the schemas
#
# Sources are found by pattern: src/*.c and platform/*.c form lavenderpass, each tests/test_*.c is a
# cmocka program that links tests/lib_*.c, each other tools/*.c is a program that links
# tools/lib_*.c, and each bench/*.c is a benchmark.

VARIANT ?= release
BUILD := build/$(VARIANT)
CC := gcc
PKGS := talloc tevent libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lcyaml -lyaml -lm -pthread

CFLAGS_common := -std=gnu11 -g -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-unused-parameter -Werror -D_GNU_SOURCE -Isrc -Iplatform -Itests -Itools -MMD -MP -pthread
CFLAGS_release := -O2
CFLAGS_asan := -O1 -fsanitize=address,undefined -fno-omit-frame-pointer -fno-sanitize-recover=undefined
CFLAGS_tsan := -O1 -fsanitize=thread -fno-omit-frame-pointer
LDFLAGS_asan := -fsanitize=address,undefined
# The asan variant for plays of the bench, which loads a library of its own into the processes.
CFLAGS_asan-static := $(CFLAGS_asan) -DASAN_DEFAULT_OPTIONS
LDFLAGS_asan-static := $(LDFLAGS_asan) -static-libasan -static-libubsan
LDFLAGS_tsan := -fsanitize=thread
CFLAGS_all := $(CFLAGS_common) $(CFLAGS_$(VARIANT)) $(PKG_CFLAGS) $(CFLAGS)
LDFLAGS_all := $(LDFLAGS_$(VARIANT)) $(LDFLAGS)

# The sanitizers cannot track GLib's slice allocator: they report false races between threads that
# reuse the same slice, and miss uses of freed slices.
ifneq ($(VARIANT),release)
export G_SLICE := always-malloc
endif

SRC := $(wildcard src/*.c) $(wildcard platform/*.c)
LIB_SRC := $(filter-out src/main.c,$(SRC))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/liblavenderpass.a
BIN := $(BUILD)/lavenderpass
TOOLS := $(patsubst tools/%.c,$(BUILD)/%,$(filter-out tools/lib_%.c,$(wildcard tools/*.c)))
TOOL_LIB_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tools/lib_*.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/*.c))
TEST_LIB_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/lib_*.c))
TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
# Integration tests, which start real processes; run one at a time, and by .ci/run only in the release
# variant.
PROCESS_TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_cluster_*.c))
UNIT_TESTS := $(filter-out $(PROCESS_TESTS),$(TESTS))
# Unit tests with threads, which .ci/run runs in the tsan variant.
THREAD_TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_thread_*.c))

.PHONY: all bench man man-check test test-unit test-process test-thread format format-check lint proto clean
all: $(BIN) $(TOOLS)
bench: $(BENCHES)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_all) -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BIN): $(BUILD)/src/main.o $(LIB)
	$(CC) $(LDFLAGS_all) $^ -o $@ $(PKG_LIBS)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(TEST_LIB_OBJ) $(LIB)
	$(CC) $(LDFLAGS_all) $^ -o $@ $(PKG_LIBS) -lcmocka

$(BUILD)/%: $(BUILD)/tools/%.o $(TOOL_LIB_OBJ) $(LIB)
	$(CC) $(LDFLAGS_all) $^ -o $@ $(PKG_LIBS)

# The planner's benchmark uses the simulated fleet of the tests.
$(BUILD)/bench_planner: $(BUILD)/bench/bench_planner.o $(BUILD)/tests/lib_fleet_sim.o $(LIB)
	$(CC) $(LDFLAGS_all) $^ -o $@ $(PKG_LIBS)
$(BUILD)/%: $(BUILD)/bench/%.o $(LIB)
	$(CC) $(LDFLAGS_all) $^ -o $@ $(PKG_LIBS)

test: test-unit test-process
test-unit: $(UNIT_TESTS)
	scripts/run-tests $(UNIT_TESTS)
test-process: all $(PROCESS_TESTS)
	LAVENDERPASS_BUILD=$(BUILD) scripts/run-tests $(PROCESS_TESTS)
test-thread: $(THREAD_TESTS)
	scripts/run-tests $(THREAD_TESTS)

HAND_WRITTEN := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] platform/*.[ch] tests/*.[ch] tools/*.[ch] bench/*.[ch]))
HAND_WRITTEN_C := $(filter %.c,$(HAND_WRITTEN))
format:
	clang-format -i $(HAND_WRITTEN)
format-check:
	clang-format --dry-run -Werror $(HAND_WRITTEN)
# cppcheck does not expand the macros of sys/queue.h and so reports their variables as uninitialised;
# uninitvar is suppressed, and the clang analyzer checks this instead.
lint:
	cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,performance,portability \
		--inline-suppr --suppressions-list=.cppcheck-suppressions -Isrc -Iplatform $(HAND_WRITTEN_C)
	printf '%s\n' $(HAND_WRITTEN_C) | xargs -P $$(nproc) -I FILE clang-tidy --quiet \
		--warnings-as-errors='*' FILE -- -std=gnu11 -D_GNU_SOURCE -Isrc -Iplatform -Itests -Itools $(PKG_CFLAGS)

MAN := $(patsubst man/%.scd,build/man/%,$(wildcard man/*.scd))
man: $(MAN)
build/man/%: man/%.scd
	@mkdir -p $(@D)
	scdoc <$< >$@.tmp
	mv $@.tmp $@
man-check: $(BIN)
	scripts/check-man $(BIN)

proto:
	cd proto && protoc-c --c_out=../src batch.proto command.proto peer.proto

clean:
	rm -rf build

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
