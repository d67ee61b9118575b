#define G_LOG_DOMAIN "platform"

#include "platform.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "log.h"

#define CONNECT_TIMEOUT_MS 1000
#define REQUEST_TIMEOUT_MS 5000
#define RESPONSE_LIMIT (64 * 1024)

/** A drain or reboot of one VM by the platform. */
typedef struct {
	platform_t *platform;
	char *op_id; /**< operation id sent to the platform */
	platform_op_t op;
	char *vm;
	uint64_t epoch;
	char *image;
	bool accepted; /**< the platform has responded with success at least once */
	bool done;
	http_call_t *call; /**< request in progress, or NULL */
} operation_t;

struct platform {
	char *base_url;
	http_client_t *client;
	GHashTable *operations; /**< operation id -> operation_t */
	char *error;		/**< error of the latest request; NULL: it succeeded */
	/** true: the latest request failed; logged only when it changes */
	bool last_request_failed;
};

static const char *op_name(platform_op_t op)
{
	switch (op) {
	case PLATFORM_DRAIN:
		return "drain";
	case PLATFORM_REBOOT:
		return "reboot";
	}
	return "";
}

static char *make_operation_id(platform_op_t op, const char *vm, uint64_t epoch)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%s", vm, epoch, op_name(op));
}

static void operation_free(gpointer data)
{
	operation_t *operation = data;

	if (operation->call != NULL)
		http_call_cancel(operation->call);
	g_free(operation->op_id);
	g_free(operation->vm);
	g_free(operation->image);
	g_free(operation);
}

static void update_error(platform_t *platform, const char *vm, const char *text)
{
	g_free(platform->error);
	platform->error = text == NULL ? NULL : g_strdup_printf("%s: %s", vm, text);
	if (platform->last_request_failed == (text != NULL))
		return;
	platform->last_request_failed = text != NULL;
	log_event(G_LOG_LEVEL_WARNING, LOG_FIELDS("vm", vm), "platform requests %s%s%s",
		  text != NULL ? "fail" : "succeed again", text != NULL ? ": " : "",
		  text != NULL ? text : "");
}

/** True when the platform's response shows that the operation is complete. */
static bool response_shows_completion(const operation_t *operation, const json_t *body)
{
	const char *state = json_string_value(json_object_get(body, "state"));
	const char *op = json_string_value(json_object_get(body, "op"));

	if (state == NULL || op == NULL || strcmp(op, operation->op_id) != 0)
		return false;
	switch (operation->op) {
	case PLATFORM_DRAIN:
		return strcmp(state, "drained") == 0;
	case PLATFORM_REBOOT:
		return strcmp(state, "running") == 0;
	}
	return false;
}

static void on_response(void *arg, const http_call_result_t *result)
{
	operation_t *operation = arg;
	json_t *body;

	operation->call = NULL;
	if (!result->complete) {
		update_error(operation->platform, operation->vm, result->error);
		return;
	}
	if (result->status < 200 || result->status > 299) {
		char text[64];

		g_snprintf(text, sizeof(text), "platform answered %u", result->status);
		update_error(operation->platform, operation->vm, text);
		return;
	}
	update_error(operation->platform, operation->vm, NULL);
	operation->accepted = true;
	body = json_loadb(result->body, result->body_length, 0, NULL);
	operation->done = response_shows_completion(operation, body);
	json_decref(body);
}

static void send_request(platform_t *platform, operation_t *operation)
{
	http_call_request_t request = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.response_limit = RESPONSE_LIMIT,
	};
	char *url;

	if (operation->accepted) {
		request.method = "GET";
		url = g_strdup_printf("%s/v1/vms/%s", platform->base_url, operation->vm);
	} else {
		request.method = "POST";
		url = g_strdup_printf("%s/v1/vms/%s/%s?op=%s&image=%s", platform->base_url,
				      operation->vm, op_name(operation->op), operation->op_id,
				      operation->image);
	}
	request.url = url;
	operation->call = http_client_send(platform->client, &request, on_response, operation);
	g_free(url);
}

platform_t *platform_create(const char *base_url, http_client_t *client)
{
	platform_t *platform = talloc_zero(NULL, platform_t);

	platform->base_url = base_url == NULL ? NULL : talloc_strdup(platform, base_url);
	platform->client = client;
	platform->operations = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, operation_free);
	return platform;
}

void platform_destroy(platform_t *platform)
{
	g_hash_table_unref(platform->operations);
	g_free(platform->error);
	talloc_free(platform);
}

void platform_advance_op(platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch,
			 const char *image)
{
	char *op_id = make_operation_id(op, vm, epoch);
	operation_t *operation = g_hash_table_lookup(platform->operations, op_id);

	if (operation == NULL) {
		operation = g_new0(operation_t, 1);
		*operation = (operation_t){
			.platform = platform,
			.op_id = g_strdup(op_id),
			.op = op,
			.vm = g_strdup(vm),
			.epoch = epoch,
			.image = g_strdup(image == NULL ? "" : image),
		};
		g_hash_table_insert(platform->operations, operation->op_id, operation);
	}
	g_free(op_id);
	if (platform->base_url != NULL && !operation->done && operation->call == NULL)
		send_request(platform, operation);
}

bool platform_done(const platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch)
{
	char *op_id = make_operation_id(op, vm, epoch);
	const operation_t *operation = g_hash_table_lookup(platform->operations, op_id);

	g_free(op_id);
	return operation != NULL && operation->done;
}

static gboolean is_operation_of_vm(gpointer op_id, gpointer value, gpointer vm)
{
	const operation_t *operation = value;

	return strcmp(operation->vm, vm) == 0;
}

void platform_forget_vm(platform_t *platform, const char *vm)
{
	g_hash_table_foreach_remove(platform->operations, is_operation_of_vm, (gpointer)vm);
}

const char *platform_last_error(const platform_t *platform)
{
	return platform->error;
}
