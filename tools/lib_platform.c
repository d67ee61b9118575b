#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "lib_emulator.h"

static const char *const vm_state_names[] = {
	[VM_RUNNING] = "running",
	[VM_DRAINING] = "draining",
	[VM_DRAINED] = "drained",
	[VM_REBOOTING] = "rebooting",
};

static response_t json_response(unsigned status, json_t *body)
{
	response_t response = {.status = status, .body = json_dumps(body, JSON_COMPACT)};

	json_decref(body);
	return response;
}

static response_t error_response(unsigned status, const char *message)
{
	return json_response(status, json_pack("{s:s}", "error", message));
}

static const char *query_param(const request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static response_t vm_response(const target_t *target)
{
	return json_response(200,
			     json_pack("{s:s, s:s, s:s}", "state", vm_state_names[target->vm_state],
				       "image", target->image, "op",
				       target->last_op == NULL ? "" : target->last_op));
}

static void start_reboot(emulator_t *emu, target_t *target, const char *image)
{
	target_kill(emu, target);
	target->vm_state = VM_REBOOTING;
	target->reboot_end_us =
		clock_now_us() + (uint64_t)emu->options.reboot_duration_ms * US_PER_MS;
	g_free(target->next_image);
	target->next_image = g_strdup(image);
}

static response_t handle_operation(emulator_t *emu, target_t *target, const char *action,
				   const request_t *request)
{
	const char *op = query_param(request, "op");

	if (op == NULL || op[0] == '\0')
		return error_response(400, "op expected");
	if (strcmp(action, "drain") != 0 && strcmp(action, "reboot") != 0)
		return error_response(404, "no such action");
	/* An operation id that was seen before has no effect; the response gives the VM's current
	 * state. */
	if (!g_hash_table_add(emu->seen_ops, g_strdup_printf("%s/%s/%s", target->vm, action, op)))
		return vm_response(target);
	g_free(target->last_op);
	target->last_op = g_strdup(op);
	if (strcmp(action, "reboot") == 0)
		start_reboot(emu, target, query_param(request, "image"));
	else if (target->vm_state == VM_RUNNING)
		target->vm_state = VM_DRAINING;
	return vm_response(target);
}

response_t platform_handle_request(emulator_t *emu, request_t *request)
{
	char **parts = g_strsplit(request->path, "/", 6);
	unsigned count = g_strv_length(parts);
	target_t *target = count >= 4 ? target_find(emu, parts[3]) : NULL;
	response_t response;

	if (emu->platform_mode == MODE_FAIL)
		response = error_response(500, "platform fails");
	else if (target == NULL || strcmp(parts[2], "vms") != 0)
		response = error_response(404, "no such VM");
	else if (count == 4 && strcmp(request->method, "GET") == 0)
		response = vm_response(target);
	else if (count == 5 && strcmp(request->method, "POST") == 0)
		response = handle_operation(emu, target, parts[4], request);
	else
		response = error_response(404, "no such resource");
	g_strfreev(parts);
	return response;
}

static json_t *target_state(const emulator_t *emu, const target_t *target)
{
	char address[64];
	json_t *state;

	g_snprintf(address, sizeof(address), "%s:%u", emu->options.address, target->port);
	state = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:b, s:b, s:i, s:I, s:I, s:i, s:o}",
		"vm", target->vm, "data_centre", target->data_centre, "rack", target->rack, "pool",
		target->assigned_pool == NULL ? "" : target->assigned_pool, "address", address,
		"mode", behaviour_name(target->mode), "state", vm_state_names[target->vm_state],
		"image", target->image, "epoch", (json_int_t)target->epoch, "cordoned",
		target->cordoned, "leaving", target_is_leaving(target), "in_flight",
		target->in_flight, "served", (json_int_t)target->served, "refused",
		(json_int_t)target->refused, "connections", target->conns->len, "tasks",
		target_task_usage(target, clock_now_us()));
	return state;
}

/* Whether a target matches the query parameters vm, dc and rack. A parameter that is absent matches
 * all targets. */
static bool matches_query(const target_t *target, const request_t *request)
{
	const char *vm = query_param(request, "vm");
	const char *dc = query_param(request, "dc");
	const char *rack = query_param(request, "rack");

	return (vm == NULL || strcmp(vm, "*") == 0 || strcmp(vm, target->vm) == 0) &&
	       (dc == NULL || strcmp(dc, target->data_centre) == 0) &&
	       (rack == NULL || strcmp(rack, target->rack) == 0);
}

static response_t get_state(emulator_t *emu, const request_t *request)
{
	json_t *list = json_array();

	for (unsigned i = 0; i < emu->target_count; i++) {
		if (matches_query(&emu->targets[i], request))
			json_array_append_new(list, target_state(emu, &emu->targets[i]));
	}
	return json_response(200, list);
}

static response_t set_behaviour(emulator_t *emu, const request_t *request)
{
	const char *mode_name = query_param(request, "mode");
	const char *after_name = query_param(request, "after_reboot");
	const char *ms = query_param(request, "ms");
	behaviour_t mode = mode_name == NULL ? MODE_COUNT : behaviour_parse(mode_name);
	behaviour_t after = after_name == NULL ? MODE_COUNT : behaviour_parse(after_name);
	int changed = 0;

	if (mode == MODE_COUNT && after == MODE_COUNT)
		return error_response(400, "mode or after_reboot expected");
	for (unsigned i = 0; i < emu->target_count; i++) {
		target_t *target = &emu->targets[i];

		if (!matches_query(target, request))
			continue;
		if (mode != MODE_COUNT)
			target_set_mode(emu, target, mode,
					ms == NULL ? 0 : (uint32_t)strtoul(ms, NULL, 10));
		if (after != MODE_COUNT)
			target->after_reboot = after;
		changed++;
	}
	return json_response(changed == 0 ? 404 : 200, json_pack("{s:i}", "changed", changed));
}

static response_t set_platform_mode(emulator_t *emu, const request_t *request)
{
	const char *name = query_param(request, "mode");
	behaviour_t mode = name == NULL ? MODE_COUNT : behaviour_parse(name);

	if (mode != MODE_NORMAL && mode != MODE_FAIL && mode != MODE_SILENT)
		return error_response(400, "mode normal, fail or silent expected");
	emu->platform_mode = mode;
	return json_response(200, json_pack("{s:s}", "mode", name));
}

response_t control_handle_request(emulator_t *emu, request_t *request)
{
	bool post = strcmp(request->method, "POST") == 0;

	if (!post && strcmp(request->path, "/state") == 0)
		return get_state(emu, request);
	if (post && strcmp(request->path, "/behaviour") == 0)
		return set_behaviour(emu, request);
	if (post && strcmp(request->path, "/platform") == 0)
		return set_platform_mode(emu, request);
	return error_response(404, "expected GET /state, POST /behaviour or POST /platform");
}
