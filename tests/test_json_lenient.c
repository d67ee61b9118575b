#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "json_lenient.h"

#define DEPTH 100000
#define MUTATIONS 20000
#define MUTATION_SEED 29

static json_t *load(const char *text, size_t *refused)
{
	return json_load_lenient(text, strlen(text), refused);
}

static void assert_reads(const char *text, const char *expected, size_t expected_refused)
{
	size_t refused = 0;
	json_t *value = load(text, &refused);
	char *dump;

	assert_non_null(value);
	dump = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
	assert_string_equal(dump, expected);
	assert_int_equal(refused, expected_refused);
	free(dump);
	json_decref(value);
}

/* Guards against a list that is lost for one entry that the parser refuses. */
static void test_refused_values_are_left_out(void **state)
{
	g_autofree char *deep = g_strnfill(DEPTH, '[');
	g_autofree char *closing = g_strnfill(DEPTH, ']');
	g_autofree char *text =
		g_strdup_printf("{\"list\":[{\"a\":1},%s%s,{\"a\":2}]}", deep, closing);

	assert_reads("{\"list\":[{\"a\":1}],\"next\":\"t\"}",
		     "{\"list\":[{\"a\":1}],\"next\":\"t\"}", 0);
	assert_reads("{\"list\":[{\"a\":1},{\"n\":1e999,\"m\":\"x\"},{\"a\":2}]}",
		     "{\"list\":[{\"a\":1},{\"m\":\"x\"},{\"a\":2}]}", 1);
	assert_reads("{\"list\":[[1,99999999999999999999999,2]] , \"b\" : [ ] }",
		     "{\"b\":[],\"list\":[[1,null,2]]}", 1);
	assert_reads("{\"list\":[[\"\xff\xfe\",1],[\"a,]}\\\"\",2]]}",
		     "{\"list\":[[null,1],[\"a,]}\\\"\",2]]}", 1);
	assert_reads("{\"list\":[\"\\u0000\",{\"\xc3\":1,\"b\":2}]}", "{\"list\":[null,{\"b\":2}]}",
		     2);
	assert_reads("{\"list\":[nonsense,1],\"x\":[1,2}}", "{\"list\":[null,1]}", 2);
	assert_reads(text, "{\"list\":[{\"a\":1},[null],{\"a\":2}]}", 1);
}

/* Guards against a document without a readable structure that is taken for an empty one, and
 * against reads behind its end. */
static void test_broken_documents_are_refused(void **state)
{
	static const char *const texts[] = {
		"",	   " ",		 "{",	       "[",	     "]",	    "{\"a\"",
		"{\"a\":", "{\"a\":[1,", "{\"a\":1,}", "{\"a\":[1}", "{\"a\":\"x}", "{\"a\":1} 2",
		"{,}",	   "[1,,2]",	 "{\"a\" 1}",  "\"",	     "\"\\",	    "{\"a\":1e999",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		size_t refused = 0;
		g_autofree char *copy = g_memdup2(texts[i], MAX(strlen(texts[i]), 1));
		json_t *value = json_load_lenient(copy, strlen(texts[i]), &refused);

		if (value != NULL)
			print_message("read: %s\n", texts[i]);
		assert_null(value);
	}
}

/* Guards against reads behind the end of a document with any bytes. */
static void test_mutated_documents_are_survived(void **state)
{
	static const char text[] =
		"{\"list\":[[\"5c0e.0.1.17\",2,\"\\u00e4\",41],{\"a\":[1e5,{}]}],"
		"\"next\":null}";
	static const char bytes[] = "[]{}\",:\\0e9\xff ";
	GRand *rand = g_rand_new_with_seed(MUTATION_SEED);

	for (unsigned i = 0; i < MUTATIONS; i++) {
		size_t length = (size_t)g_rand_int_range(rand, 1, sizeof(text));
		g_autofree char *copy = g_memdup2(text, length);
		size_t refused;

		for (unsigned j = 0; j < 1 + i % 4; j++)
			copy[g_rand_int_range(rand, 0, (gint32)length)] =
				bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];
		json_decref(json_load_lenient(copy, length, &refused));
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_values_are_left_out),
		cmocka_unit_test(test_broken_documents_are_refused),
		cmocka_unit_test(test_mutated_documents_are_survived),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
