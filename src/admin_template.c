#define G_LOG_DOMAIN "admin"

#include "admin.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "clock.h"
#include "controller.h"
#include "json_reply.h"
#include "template.h"

#define PARAMS_MAX 256
#define ERROR_SIZE 512
/* Assumed duration of a VM's reboot; used only to estimate how long a roll-out takes. */
#define ESTIMATED_REBOOT_MS 60000

static const char *string_or_default(const json_t *body, const char *key, const char *fallback)
{
	const char *text = json_string_value(json_object_get(body, key));

	return text == NULL ? fallback : text;
}

/**
 * Reads the template parameters from a request body. Values that are not strings and parameters
 * beyond PARAMS_MAX are ignored.
 * @param params array of PARAMS_MAX elements; their strings belong to body
 * @return number of parameters
 */
static size_t parse_parameters(json_t *body, template_param_t *params)
{
	const char *name;
	json_t *value;
	size_t count = 0;

	json_object_foreach (json_object_get(body, "parameters"), name, value) {
		if (count == PARAMS_MAX || !json_is_string(value))
			continue;
		params[count++] = (template_param_t){
			.name = name,
			.value = json_string_value(value),
		};
	}
	return count;
}

/**
 * Parses the template in a request body. Replies with status 400 when it is missing or invalid.
 * @return the template, to be freed with lp__template__free_unpacked(), or NULL after such a reply
 */
static Lp__Template *parse_request_template(http_request_t *request, json_t *body)
{
	template_param_t params[PARAMS_MAX];
	const char *text = string_or_default(body, "text", NULL);
	Lp__Template *template = NULL;
	char error[ERROR_SIZE];

	if (text == NULL) {
		json_reply_error(request, 400, "the body needs \"text\": the template in YAML");
		return NULL;
	}
	if (template_parse(string_or_default(body, "name", "template"), text, strlen(text), params,
			   parse_parameters(body, params), &template, error, sizeof(error)) != 0) {
		json_reply_error(request, 400, error);
		return NULL;
	}
	return template;
}

void admin_template_check(node_t *node, http_request_t *request)
{
	json_t *body = json_request_body(request);
	Lp__Template *template = parse_request_template(request, body);

	if (template != NULL) {
		json_reply(request, 200,
			   json_pack("{s:s, s:I}", "organisation", template->organisation, "pools",
				     (json_int_t) template->n_pools));
		lp__template__free_unpacked(template, NULL);
	}
	json_decref(body);
}

void admin_template_plan(node_t *node, http_request_t *request)
{
	json_t *body = json_request_body(request);
	Lp__Template *template = parse_request_template(request, body);
	const fleet_org_t *org;
	plan_estimate_t estimate;
	plan_input_t input;

	if (template == NULL)
		goto out;
	controller_plan_input(node->controller, &input);
	planner_estimate(&input, template, ESTIMATED_REBOOT_MS, &estimate);
	org = fleet_org_find(&node->fleet, template->organisation);
	json_reply(request, 200,
		   json_pack("{s:s, s:I, s:i, s:i, s:I, s:I, s:i, s:i, s:s}", "organisation",
			     template->organisation, "revision",
			     (json_int_t)(org == NULL ? 0 : org->revision), "moves",
			     (int)estimate.moves, "maintenance", (int)estimate.maintenance,
			     "rollout_ms", (json_int_t)estimate.rollout_ms, "rollout_bound_ms",
			     (json_int_t)estimate.rollout_bound_ms, "buffer_vms",
			     (int)estimate.buffer_vms, "at_risk", (int)estimate.at_risk, "text",
			     estimate.text == NULL ? "" : estimate.text));
	plan_estimate_finish(&estimate);
	lp__template__free_unpacked(template, NULL);
out:
	json_decref(body);
}

/** Maps the result code of a command to an HTTP status. */
static unsigned result_status(const Lp__Result *result)
{
	switch (result->code) {
	case LP__RESULT_CODE__RESULT_OK:
		return 200;
	case LP__RESULT_CODE__RESULT_CONFLICT:
		return 409;
	case LP__RESULT_CODE__RESULT_INVALID:
		return 400;
	case LP__RESULT_CODE__RESULT_NOT_FOUND:
		return 404;
	case LP__RESULT_CODE__RESULT_UNAVAILABLE:
	case LP__RESULT_CODE__RESULT_UNKNOWN:
	case _LP__RESULT_CODE_IS_INT_SIZE:
		return 503;
	}
	return 500;
}

/**
 * Sends the result of a command as the reply to a request; implements replica_done_fn.
 * @param arg the http_request_t
 */
static void reply_result(void *arg, const Lp__Result *result)
{
	http_request_t *request = arg;
	const char *outcome =
		result->code == LP__RESULT_CODE__RESULT_UNKNOWN ? "unknown" : "not-run";

	if (result->code == LP__RESULT_CODE__RESULT_OK) {
		json_reply(request, 200,
			   json_pack("{s:I, s:I, s:s}", "revision", (json_int_t)result->revision,
				     "index", (json_int_t)result->index, "message",
				     result->message));
		return;
	}
	json_reply(request, result_status(result),
		   json_pack("{s:s, s:s, s:I, s:s, s:s}", "error", result->message, "outcome",
			     outcome, "revision", (json_int_t)result->revision, "author",
			     result->author, "note", result->note));
}

void admin_template_apply(node_t *node, http_request_t *request)
{
	json_t *body = json_request_body(request);
	const char *author = string_or_default(body, "author", "");
	const char *note = string_or_default(body, "note", "");
	const char *op_id = string_or_default(body, "op_id", "");
	const json_t *expected = json_object_get(body, "expected_revision");
	Lp__Template *template = NULL;
	Lp__ApplyTemplate apply = LP__APPLY_TEMPLATE__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	if (author[0] == '\0' || note[0] == '\0' || op_id[0] == '\0' ||
	    !json_is_integer(expected)) {
		json_reply_error(request, 400,
				 "author, note, op_id and expected_revision are required");
		goto out;
	}
	template = parse_request_template(request, body);
	if (template == NULL)
		goto out;
	apply.template_ = template;
	apply.expected_revision = (uint64_t)json_integer_value(expected);
	apply.author = (char *)author;
	apply.note = (char *)note;
	command.op_id = (char *)op_id;
	command.body_case = LP__COMMAND__BODY_APPLY_TEMPLATE;
	command.apply_template = &apply;
	node_propose(node, &command, reply_result, request);
out:
	if (template != NULL)
		lp__template__free_unpacked(template, NULL);
	json_decref(body);
}

void admin_template_history(node_t *node, http_request_t *request)
{
	const char *organisation = http_request_param(request, "organisation");
	json_t *list = json_array();

	for (GList *l = node->fleet.audit.tail; l != NULL; l = l->prev) {
		const Lp__AuditRecord *record = l->data;

		if (organisation != NULL && strcmp(record->organisation, organisation) != 0)
			continue;
		json_array_append_new(list, json_pack("{s:I, s:I, s:s, s:I, s:s, s:s, s:s}",
						      "index", (json_int_t)record->index, "time_ms",
						      (json_int_t)record->time_ms, "organisation",
						      record->organisation, "revision",
						      (json_int_t)record->revision, "author",
						      record->author, "note", record->note,
						      "summary", record->summary));
	}
	json_reply(request, 200, json_pack("{s:o}", "history", list));
}

void admin_template_current(node_t *node, http_request_t *request)
{
	const char *name = http_request_param(request, "organisation");
	const fleet_org_t *org = name == NULL ? NULL : fleet_org_find(&node->fleet, name);

	if (org == NULL || org->template == NULL) {
		json_reply_error(request, 404, "no template of this organisation");
		return;
	}
	json_reply(request, 200,
		   json_pack("{s:s, s:I, s:s, s:s, s:s}", "organisation", org->name, "revision",
			     (json_int_t)org->revision, "author", org->author, "note", org->note,
			     "text", org->template->text));
}

/**
 * Collects the job ids in the "jobs" array of a request body.
 * @param ids set to an array of the ids, to be freed with g_free(); the strings belong to body
 * @return number of ids
 */
static size_t collect_job_ids(const json_t *body, char ***ids)
{
	const json_t *jobs = json_object_get(body, "jobs");
	size_t count = 0;

	*ids = g_new0(char *, json_array_size(jobs) + 1);
	for (size_t i = 0; i < json_array_size(jobs); i++) {
		const char *id = json_string_value(json_array_get(jobs, i));

		if (id != NULL)
			(*ids)[count++] = (char *)id;
	}
	return count;
}

/* Returns the operation id of a job, to be freed with g_free(). It is derived from the whole
 * specification, so a job that is sent again gets the result of its first submission. A different
 * job with the same job id gets another operation id. With the same operation id it would get the
 * result of the first job, so its client would be told that the different job was submitted. */
static char *job_op_id(const Lp__JobSpec *spec)
{
	size_t length = lp__job_spec__get_packed_size(spec);
	uint8_t *packed = g_malloc(length + 1);
	char *op_id;

	lp__job_spec__pack(spec, packed);
	op_id = g_strdup_printf("job/%s/%s/%016" PRIx64, spec->organisation, spec->job,
				(uint64_t)XXH64(packed, length, 0));
	g_free(packed);
	return op_id;
}

void admin_job_submit(node_t *node, http_request_t *request)
{
	json_t *body = json_request_body(request);
	Lp__JobSpec spec = LP__JOB_SPEC__INIT;
	Lp__JobSubmit submit = LP__JOB_SUBMIT__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	spec.job = (char *)string_or_default(body, "job", "");
	spec.organisation = (char *)string_or_default(body, "organisation", "");
	spec.pool = (char *)string_or_default(body, "pool", "");
	spec.team = (char *)string_or_default(body, "team", "");
	spec.kind = (char *)string_or_default(body, "kind", "");
	spec.cores = (uint32_t)json_integer_value(json_object_get(body, "cores"));
	spec.mem_mib = (uint32_t)json_integer_value(json_object_get(body, "mem_mib"));
	spec.accelerators = (uint32_t)json_integer_value(json_object_get(body, "accelerators"));
	spec.run_time_ms = (uint64_t)json_integer_value(json_object_get(body, "run_time_ms"));
	spec.urgent = json_is_true(json_object_get(body, "urgent"));
	spec.repeatable = json_is_true(json_object_get(body, "repeatable"));
	if (spec.job[0] == '\0' || spec.organisation[0] == '\0' || spec.pool[0] == '\0') {
		json_reply_error(request, 400, "job, organisation and pool are required");
		goto out;
	}
	submit.spec = &spec;
	command.op_id = job_op_id(&spec);
	command.body_case = LP__COMMAND__BODY_JOB_SUBMIT;
	command.job_submit = &submit;
	node_propose(node, &command, reply_result, request);
	g_free(command.op_id);
out:
	json_decref(body);
}

void admin_job_cancel(node_t *node, http_request_t *request)
{
	json_t *body = json_request_body(request);
	Lp__JobCancel cancel = LP__JOB_CANCEL__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	cancel.n_jobs = collect_job_ids(body, &cancel.jobs);
	cancel.reason = (char *)string_or_default(body, "reason", "");
	if (cancel.n_jobs == 0) {
		json_reply_error(request, 400, "jobs has to be a list of job ids");
		goto out;
	}
	command.body_case = LP__COMMAND__BODY_JOB_CANCEL;
	command.job_cancel = &cancel;
	node_propose(node, &command, reply_result, request);
out:
	g_free(cancel.jobs);
	json_decref(body);
}
