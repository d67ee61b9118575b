#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

#include "snapshot.h"
#include "wal.h"

static char path[256];
static char error_text[512];

typedef struct {
	int count;
	char last[32];
} recovered_t;

static int on_record(void *arg, wal_type_t type, const uint8_t *payload, size_t length)
{
	recovered_t *recovered = arg;

	assert_in_range(type, WAL_BASE, WAL_ENTRY);
	assert_true(length < sizeof(recovered->last));
	memcpy(recovered->last, payload, length);
	recovered->last[length] = '\0';
	recovered->count++;
	return 0;
}

static int set_up(void **state)
{
	char dir[] = "/tmp/lp-wal-XXXXXX";

	assert_non_null(g_mkdtemp(dir));
	g_snprintf(path, sizeof(path), "%s/log", dir);
	return 0;
}

static int tear_down(void **state)
{
	g_autofree char *dir = g_path_get_dirname(path);

	g_unlink(path);
	return g_rmdir(dir);
}

static void append_entry(wal_t *wal, const char *text)
{
	wal_append(wal, WAL_ENTRY, (const uint8_t *)text, strlen(text));
}

/* Creates a log file with three frames, which hold the base record, entry "one", and entries "two"
 * and "three". Sets *before_last to the offset of the last frame. */
static wal_t *make_log(size_t *before_last)
{
	wal_t *wal = wal_create(NULL, path);

	wal_append(wal, WAL_BASE, (const uint8_t *)"base", 4);
	assert_int_equal(wal_rewrite(wal), 0);
	append_entry(wal, "one");
	assert_int_equal(wal_sync(wal), 0);
	*before_last = wal_size(wal);
	append_entry(wal, "two");
	append_entry(wal, "three");
	assert_int_equal(wal_sync(wal), 0);
	return wal;
}

static wal_t *open_log(recovered_t *recovered)
{
	*recovered = (recovered_t){0};
	return wal_open(NULL, path, on_record, recovered, error_text, sizeof(error_text));
}

/* Guards against a log that cannot be opened after an interrupted write of its last frame, or that
 * keeps a part of that frame. */
static void test_torn_tail_is_cut_at_every_offset(void **state)
{
	size_t before_last;
	wal_t *wal = make_log(&before_last);
	size_t full = wal_size(wal);

	wal_close(wal);
	for (size_t size = full - 1; size > before_last; size--) {
		recovered_t recovered;

		wal_close(make_log(&before_last));
		assert_int_equal(truncate(path, (off_t)size), 0);
		wal = open_log(&recovered);
		assert_non_null(wal);
		assert_int_equal(recovered.count, 2);
		assert_string_equal(recovered.last, "one");
		append_entry(wal, "four");
		assert_int_equal(wal_sync(wal), 0);
		wal_close(wal);
		wal_close(open_log(&recovered));
		assert_int_equal(recovered.count, 3);
		assert_string_equal(recovered.last, "four");
	}
}

/* Guards against opening a log that is damaged before its last frame, because committed entries
 * would then be dropped. */
static void test_flipped_byte_before_the_last_frame_is_refused(void **state)
{
	size_t before_last;

	wal_close(make_log(&before_last));
	for (size_t at = 0; at < before_last; at++) {
		g_autofree char *data = NULL;
		gsize length;
		recovered_t recovered;

		assert_true(g_file_get_contents(path, &data, &length, NULL));
		data[at] ^= 0x10;
		assert_true(g_file_set_contents(path, data, (gssize)length, NULL));
		assert_null(open_log(&recovered));
		assert_non_null(strstr(error_text, path));
		assert_non_null(strstr(error_text, "offset "));
		data[at] ^= 0x10;
		assert_true(g_file_set_contents(path, data, (gssize)length, NULL));
	}
}

/* Guards against a failed write on a full disk that damages the log or that is reported as
 * successful. */
static void test_full_disk_is_reported_and_recovered_from(void **state)
{
	char long_text[400] = {0};
	struct rlimit old;
	struct rlimit full;
	size_t before_last;
	recovered_t recovered;
	wal_t *wal = make_log(&before_last);

	signal(SIGXFSZ, SIG_IGN);
	getrlimit(RLIMIT_FSIZE, &old);
	full = old;
	full.rlim_cur = wal_size(wal) + 100;
	memset(long_text, 'x', sizeof(long_text) - 1);
	setrlimit(RLIMIT_FSIZE, &full);
	append_entry(wal, long_text);
	assert_int_equal(wal_sync(wal), -1);
	assert_int_equal(errno, EFBIG);
	wal_discard(wal);
	append_entry(wal, "small");
	assert_int_equal(wal_sync(wal), -1);
	wal_discard(wal);
	setrlimit(RLIMIT_FSIZE, &old);
	wal_close(open_log(&recovered));
	assert_int_equal(recovered.count, 4);

	wal_append(wal, WAL_BASE, (const uint8_t *)"new base", 8);
	assert_int_equal(wal_rewrite(wal), 0);
	append_entry(wal, "five");
	assert_int_equal(wal_sync(wal), 0);
	wal_close(wal);
	wal_close(open_log(&recovered));
	assert_int_equal(recovered.count, 2);
	assert_string_equal(recovered.last, "five");
}

/* Guards against loading a damaged snapshot. */
static void test_snapshot_round_trip_and_damage(void **state)
{
	raft_snapshot_t snapshot = {.index = 7, .term = 3, .data = (uint8_t *)"state", .length = 5};
	raft_snapshot_t read;
	g_autofree char *data = NULL;
	gsize length;

	snapshot.config.members[snapshot.config.count++] = (raft_member_t){{4, 9}, true};
	assert_int_equal(snapshot_read(NULL, path, &read, error_text, sizeof(error_text)), 0);
	assert_int_equal(snapshot_write(path, &snapshot), 0);
	assert_int_equal(snapshot_read(NULL, path, &read, error_text, sizeof(error_text)), 1);
	assert_int_equal(read.index, 7);
	assert_int_equal(read.term, 3);
	assert_non_null(raft_config_find(&read.config, (raft_id_t){4, 9}));
	assert_memory_equal(read.data, "state", 5);
	talloc_free(read.data);
	assert_true(g_file_get_contents(path, &data, &length, NULL));
	for (size_t at = 0; at < length; at++) {
		data[at] ^= 1;
		assert_true(g_file_set_contents(path, data, (gssize)length, NULL));
		assert_int_equal(snapshot_read(NULL, path, &read, error_text, sizeof(error_text)),
				 -1);
		data[at] ^= 1;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_torn_tail_is_cut_at_every_offset, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_flipped_byte_before_the_last_frame_is_refused,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_full_disk_is_reported_and_recovered_from,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_round_trip_and_damage, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
