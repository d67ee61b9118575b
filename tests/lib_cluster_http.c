#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib.h>

#include "lib_cluster.h"

#define REQUEST_TIMEOUT_MS 10000
#define POLL_US 20000

const char *cluster_url(const cluster_t *cluster, unsigned node)
{
	static char urls[4][64];
	static unsigned next;
	char *url = urls[next++ % G_N_ELEMENTS(urls)];

	g_snprintf(url, sizeof(urls[0]), "http://127.0.0.1:%u", cluster->nodes[node - 1].http_port);
	return url;
}

static size_t append_to_body(char *bytes, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, bytes, (gssize)(size * count));
	return size * count;
}

json_t *cluster_http(const char *method, const char *url, const char *path, const json_t *body,
		     long *status)
{
	char *full_url = g_strdup_printf("%s%s", url, path);
	char *request_body = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	GString *response = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long http_status = 0;
	json_t *result;

	curl_easy_setopt(curl, CURLOPT_URL, full_url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_to_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (strcmp(method, "GET") != 0) {
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
				 request_body == NULL ? "" : request_body);
	}
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &http_status);
	result = http_status == 0 ? NULL
				  : json_loadb(response->str, response->len, JSON_DECODE_ANY, NULL);
	if (status != NULL)
		*status = http_status;
	curl_easy_cleanup(curl);
	g_string_free(response, TRUE);
	free(request_body);
	g_free(full_url);
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

static json_t *emulator_request(const cluster_t *cluster, const char *method, const char *path)
{
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", cluster->control_port);
	return cluster_http(method, url, path, NULL, NULL);
}

void cluster_set_behaviour(cluster_t *cluster, const char *query)
{
	char *path = g_strdup_printf("/behaviour?%s", query);
	json_t *response = emulator_request(cluster, "POST", path);

	if (json_integer_value(json_object_get(response, "changed")) == 0)
		fail_msg("no target changed its behaviour: %s", query);
	json_decref(response);
	g_free(path);
}

json_t *cluster_get_targets(cluster_t *cluster)
{
	return emulator_request(cluster, "GET", "/state");
}

bool cluster_wait_until(bool (*condition)(void *arg), void *arg, unsigned timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;

	while (!condition(arg)) {
		if (g_get_monotonic_time() > deadline_us)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

json_t *cluster_read_journal(const char *file)
{
	json_t *lines = json_array();
	char *content = NULL;
	char *start;
	char *end;

	if (!g_file_get_contents(file, &content, NULL, NULL))
		return lines;
	for (start = content; (end = strchr(start, '\n')) != NULL; start = end + 1) {
		json_t *value = json_loadb(start, (size_t)(end - start), 0, NULL);

		if (value == NULL)
			fail_msg("%s: not a JSON line: %.*s", file, (int)(end - start), start);
		json_array_append_new(lines, value);
	}
	g_free(content);
	return lines;
}
