#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

#include "lib_fuzz.h"
#include "settings.h"
#include "snapshot.h"
#include "template.h"
#include "wal.h"

#define FILE_ROUNDS 3000
#define YAML_ROUNDS 2500
#define ENTRIES 24
#define ENTRY_BYTES 16

static char dir[64];
static char path[128];
static char error_text[1024];
static fuzz_t fuzz;

static int set_up(void **state)
{
	g_strlcpy(dir, "/tmp/lp-fuzz-XXXXXX", sizeof(dir));
	assert_non_null(g_mkdtemp(dir));
	g_snprintf(path, sizeof(path), "%s/file", dir);
	return 0;
}

static int tear_down(void **state)
{
	g_unlink(path);
	return g_rmdir(dir);
}

static void write_file(const uint8_t *data, size_t length)
{
	FILE *file = fopen(path, "wb");

	assert_non_null(file);
	assert_int_equal(fwrite(data, 1, length, file), length);
	assert_int_equal(fclose(file), 0);
}

static GPtrArray *samples_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
}

static void add_sample(GPtrArray *samples, const void *data, size_t length)
{
	GByteArray *sample = g_byte_array_new();

	g_byte_array_append(sample, data, (guint)length);
	g_ptr_array_add(samples, sample);
}

static void add_file_sample(GPtrArray *samples, const char *name)
{
	g_autofree char *data = NULL;
	gsize length;

	assert_true(g_file_get_contents(name, &data, &length, NULL));
	add_sample(samples, data, length);
}

static void format_entry(char text[ENTRY_BYTES], unsigned number)
{
	memset(text, 0, ENTRY_BYTES);
	g_snprintf(text, ENTRY_BYTES, "entry %u", number);
}

/* Writes a log with the given number of entries, in frames of 1 or 2 entries each. */
static void make_log(unsigned entries)
{
	wal_t *wal = wal_create(NULL, path);
	char text[ENTRY_BYTES];

	wal_append(wal, WAL_BASE, (const uint8_t *)"base", 4);
	assert_int_equal(wal_rewrite(wal), 0);
	for (unsigned i = 0; i < entries; i++) {
		format_entry(text, i);
		wal_append(wal, WAL_ENTRY, (const uint8_t *)text, sizeof(text));
		if (i % 3 != 1)
			assert_int_equal(wal_sync(wal), 0);
	}
	assert_int_equal(wal_sync(wal), 0);
	wal_close(wal);
}

typedef struct {
	unsigned records;
	unsigned never_appended; /* number of records that make_log() did not append */
	unsigned misplaced;	 /* number of records recovered at another position than make_log()
				    appended them at */
} recovery_t;

/* Compares a record that was recovered with the records that make_log() appended. */
static int on_record(void *arg, wal_type_t type, const uint8_t *payload, size_t length)
{
	recovery_t *recovered = arg;
	char text[ENTRY_BYTES];

	unsigned position = 0;

	if (type == WAL_BASE && length == 4 && memcmp(payload, "base", 4) == 0) {
		recovered->misplaced += recovered->records != 0;
	} else {
		do
			format_entry(text, position);
		while ((type != WAL_ENTRY || length != sizeof(text) ||
			memcmp(payload, text, sizeof(text)) != 0) &&
		       ++position < ENTRIES);
		recovered->never_appended += position == ENTRIES;
		recovered->misplaced += recovered->records != position + 1;
	}
	recovered->records++;
	return 0;
}

/* Checks that the error message contains the file name and an offset. */
static void assert_names_file_and_offset(void)
{
	assert_non_null(strstr(error_text, path));
	assert_non_null(strstr(error_text, "offset "));
}

static bool is_prefix(const GByteArray *mutated, const GByteArray *sample)
{
	return mutated->len <= sample->len &&
	       memcmp(mutated->data, sample->data, mutated->len) == 0;
}

/* Opens a damaged log. It has to be refused, or recovered with only entries that were appended. */
static void check_recovery(const GByteArray *mutated, const GByteArray *sample)
{
	recovery_t first = {0};
	recovery_t again = {0};
	wal_t *wal;

	write_file(mutated->data, mutated->len);
	wal = wal_open(NULL, path, on_record, &first, error_text, sizeof(error_text));
	if (wal == NULL) {
		assert_names_file_and_offset();
		assert_int_equal(first.never_appended, 0);
		/* A truncated log is like one whose last write was interrupted, so it may be
		 * refused only if its base frame is cut. */
		if (is_prefix(mutated, sample))
			assert_int_equal(first.records, 0);
		return;
	}
	assert_true(first.records >= 1);
	assert_int_equal(first.never_appended, 0);
	if (is_prefix(mutated, sample))
		assert_int_equal(first.misplaced, 0);
	assert_true(wal_size(wal) <= mutated->len);
	wal_close(wal);
	/* Opening the log truncated its damaged tail, so opening it again has to give the same
	 * records. */
	wal = wal_open(NULL, path, on_record, &again, error_text, sizeof(error_text));
	assert_non_null(wal);
	assert_int_equal(again.records, first.records);
	wal_close(wal);
}

/* Guards against a crash on a damaged log, an error message without file and offset, and
 * recovering an entry that was never appended. Mutations that repeat or remove whole frames
 * leave valid checksums; the index check of raft_restore_entry() finds those. */
static void test_damaged_log_is_recovered_or_refused(void **state)
{
	GPtrArray *samples = samples_new();

	fuzz_init(&fuzz, FILE_ROUNDS, NULL, 0);
	make_log(ENTRIES);
	add_file_sample(samples, path);
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);

		check_recovery(mutated, g_ptr_array_index(samples, 0));
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

/* Guards against recovering an entry that was never appended or is at another position. With up
 * to 4 bytes overwritten, and perhaps the end cut off, the log must give a prefix of its entries
 * or be refused. */
static void test_overwritten_bytes_never_recover_a_wrong_entry(void **state)
{
	GPtrArray *samples = samples_new();
	const GByteArray *sample;

	fuzz_init(&fuzz, FILE_ROUNDS, NULL, 0);
	make_log(ENTRIES);
	add_file_sample(samples, path);
	sample = g_ptr_array_index(samples, 0);
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		g_autofree uint8_t *data = g_memdup2(sample->data, sample->len);
		size_t flips = 1 + fuzz_random_below(&fuzz, 4);
		size_t length =
			sample->len - fuzz_random_below(&fuzz, 2) * fuzz_random_below(&fuzz, 200);
		recovery_t recovered = {0};
		wal_t *wal;

		for (size_t k = 0; k < flips; k++)
			data[fuzz_random_below(&fuzz, length)] ^=
				(uint8_t)(1 + fuzz_random_below(&fuzz, 255));
		write_file(data, length);
		wal = wal_open(NULL, path, on_record, &recovered, error_text, sizeof(error_text));
		assert_int_equal(recovered.never_appended, 0);
		assert_int_equal(recovered.misplaced, 0);
		if (wal == NULL)
			assert_names_file_and_offset();
		wal_close(wal);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

/* Writes a snapshot whose content is determined by the number of members, and adds it to the
 * samples. */
static void make_snapshot(GPtrArray *samples, unsigned members, size_t length)
{
	g_autofree uint8_t *data = g_malloc0(length + 1);
	raft_snapshot_t snapshot = {
		.index = 7 + members, .term = 3, .data = data, .length = length};

	memset(data, 'a' + (int)members, length);
	for (unsigned i = 0; i < members; i++)
		snapshot.config.members[snapshot.config.count++] =
			(raft_member_t){{i + 1, 9}, true};
	assert_int_equal(snapshot_write(path, &snapshot), 0);
	add_file_sample(samples, path);
}

/* Whether a snapshot equals the sample that has the same number of members. */
static bool is_sample(const raft_snapshot_t *snapshot)
{
	size_t members = snapshot->config.count;

	if (snapshot->index != 7 + members || snapshot->term != 3)
		return false;
	for (size_t i = 0; i < snapshot->length; i++) {
		if (snapshot->data[i] != 'a' + members)
			return false;
	}
	return true;
}

/* Guards against loading a snapshot that was never written, a crash, and an error message
 * without file and offset. There is only one sample, because a data frame from another snapshot
 * would have a valid checksum. */
static void test_damaged_snapshot_is_refused(void **state)
{
	GPtrArray *samples = samples_new();
	raft_snapshot_t read;

	fuzz_init(&fuzz, FILE_ROUNDS, NULL, 0);
	make_snapshot(samples, 3, 200);
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);
		int result;

		write_file(mutated->data, mutated->len);
		result = snapshot_read(NULL, path, &read, error_text, sizeof(error_text));
		assert_true(result == 1 || result == -1);
		if (result == 1) {
			assert_true(is_sample(&read));
			assert_int_equal(read.length, 200);
			talloc_free(read.data);
		} else {
			assert_names_file_and_offset();
		}
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

/* Guards against a crash, a leak or an error message without the file name on damaged settings. */
static void test_damaged_settings_are_refused_with_the_file(void **state)
{
	GPtrArray *samples = samples_new();

	fuzz_init(&fuzz, YAML_ROUNDS, NULL, 0);
	add_file_sample(samples, "examples/lavenderpass.yaml");
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);
		settings_t settings;

		write_file(mutated->data, mutated->len);
		error_text[0] = '\0';
		if (settings_load(&settings, path, error_text, sizeof(error_text)) == 0)
			settings_finish(&settings);
		else
			assert_non_null(strstr(error_text, path));
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

/* Damaged templates must not cause a crash or a leak, and the error message must contain the file
 * name. An accepted template must have exactly one spare pool, because the planner relies on
 * that. */
static void test_damaged_templates_are_refused_with_the_file(void **state)
{
	static const template_param_t params[] = {{"image", "v2"}, {"note", "x"}};
	GPtrArray *samples = samples_new();

	fuzz_init(&fuzz, YAML_ROUNDS, NULL, 0);
	add_file_sample(samples, "examples/barid.yaml");
	add_file_sample(samples, "examples/tesfaye.yaml");
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);
		Lp__Template *template = NULL;
		size_t spares = 0;

		error_text[0] = '\0';
		if (template_parse("t.yaml", (const char *)mutated->data, mutated->len, params,
				   fuzz_random_below(&fuzz, 3), &template, error_text,
				   sizeof(error_text)) == 0) {
			for (size_t k = 0; k < template->n_pools; k++)
				spares += template->pools[k]->spare;
			assert_int_equal(spares, 1);
			lp__template__free_unpacked(template, NULL);
		} else {
			assert_non_null(strstr(error_text, "t.yaml"));
		}
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_damaged_log_is_recovered_or_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_overwritten_bytes_never_recover_a_wrong_entry,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_damaged_snapshot_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_damaged_settings_are_refused_with_the_file,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_damaged_templates_are_refused_with_the_file,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
