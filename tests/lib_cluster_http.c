#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib.h>

#include "lib_cluster.h"

#define CALL_LIMIT_MS 10000
#define POLL_US 20000

const char *cluster_url(const cluster_t *cluster, unsigned node)
{
	static char urls[4][64];
	static unsigned next;
	char *url = urls[next++ % G_N_ELEMENTS(urls)];

	g_snprintf(url, sizeof(urls[0]), "http://127.0.0.1:%u", cluster->nodes[node - 1].http_port);
	return url;
}

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

json_t *cluster_http(const char *method, const char *url, const char *path, const json_t *body,
		     long *status)
{
	char *full = g_strdup_printf("%s%s", url, path);
	char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	GString *answer = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	long got = 0;
	json_t *result;

	curl_easy_setopt(easy, CURLOPT_URL, full);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_LIMIT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text == NULL ? "" : text);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &got);
	result = got == 0 ? NULL : json_loadb(answer->str, answer->len, JSON_DECODE_ANY, NULL);
	if (status != NULL)
		*status = got;
	curl_easy_cleanup(easy);
	g_string_free(answer, TRUE);
	free(text);
	g_free(full);
	return result;
}

json_t *cluster_get(const cluster_t *cluster, unsigned node, const char *path, long *status)
{
	return cluster_http("GET", cluster_url(cluster, node), path, NULL, status);
}

json_t *cluster_post(const cluster_t *cluster, unsigned node, const char *path, const json_t *body,
		     long *status)
{
	return cluster_http("POST", cluster_url(cluster, node), path, body, status);
}

static json_t *control(const cluster_t *cluster, const char *method, const char *path)
{
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", cluster->control_port);
	return cluster_http(method, url, path, NULL, NULL);
}

void cluster_behaviour(cluster_t *cluster, const char *query)
{
	char *path = g_strdup_printf("/behaviour?%s", query);
	json_t *answer = control(cluster, "POST", path);

	if (json_integer_value(json_object_get(answer, "changed")) == 0)
		fail_msg("emulator refused: %s", query);
	json_decref(answer);
	g_free(path);
}

json_t *cluster_targets(cluster_t *cluster)
{
	return control(cluster, "GET", "/state");
}

bool cluster_wait(bool (*condition)(void *arg), void *arg, unsigned limit_ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)limit_ms * 1000;

	while (!condition(arg)) {
		if (g_get_monotonic_time() > end_us)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

json_t *cluster_journal(const char *file)
{
	json_t *list = json_array();
	char *text = NULL;
	char *line;
	char *end;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return list;
	for (line = text; (end = strchr(line, '\n')) != NULL; line = end + 1) {
		json_t *value = json_loadb(line, (size_t)(end - line), 0, NULL);

		if (value == NULL)
			fail_msg("%s: not a JSON line: %.*s", file, (int)(end - line), line);
		json_array_append_new(list, value);
	}
	g_free(text);
	return list;
}
