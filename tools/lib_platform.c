#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "lib_emulator.h"

static const char *const state_names[] = {
	[VM_RUNNING] = "running",
	[VM_DRAINING] = "draining",
	[VM_DRAINED] = "drained",
	[VM_REBOOTING] = "rebooting",
};

static answer_t answer_json(unsigned status, json_t *body)
{
	answer_t answer = {.status = status, .body = json_dumps(body, JSON_COMPACT)};

	json_decref(body);
	return answer;
}

static answer_t answer_error(unsigned status, const char *message)
{
	return answer_json(status, json_pack("{s:s}", "error", message));
}

static const char *param(const request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static answer_t vm_answer(const target_t *target)
{
	return answer_json(200, json_pack("{s:s, s:s, s:s}", "state", state_names[target->vm_state],
					  "image", target->image, "op",
					  target->last_op == NULL ? "" : target->last_op));
}

static void start_reboot(emulator_t *emu, target_t *target, const char *image)
{
	target_kill(emu, target);
	target->vm_state = VM_REBOOTING;
	target->reboot_end_us = clock_now_us() + (uint64_t)emu->options.reboot_ms * US_PER_MS;
	g_free(target->next_image);
	target->next_image = g_strdup(image);
}

static answer_t operate(emulator_t *emu, target_t *target, const char *action,
			const request_t *request)
{
	const char *op = param(request, "op");

	if (op == NULL || op[0] == '\0')
		return answer_error(400, "op expected");
	if (strcmp(action, "drain") != 0 && strcmp(action, "reboot") != 0)
		return answer_error(404, "no such action");
	/* A repeated operation id changes nothing and gets the present state. */
	if (!g_hash_table_add(emu->ops, g_strdup_printf("%s/%s/%s", target->vm, action, op)))
		return vm_answer(target);
	g_free(target->last_op);
	target->last_op = g_strdup(op);
	if (strcmp(action, "reboot") == 0)
		start_reboot(emu, target, param(request, "image"));
	else if (target->vm_state == VM_RUNNING)
		target->vm_state = VM_DRAINING;
	return vm_answer(target);
}

answer_t platform_call(emulator_t *emu, request_t *request)
{
	char **parts = g_strsplit(request->path, "/", 6);
	unsigned count = g_strv_length(parts);
	target_t *target = count >= 4 ? target_find(emu, parts[3]) : NULL;
	answer_t answer;

	if (emu->platform_mode == MODE_FAIL)
		answer = answer_error(500, "platform fails");
	else if (target == NULL || strcmp(parts[2], "vms") != 0)
		answer = answer_error(404, "no such VM");
	else if (count == 4 && strcmp(request->method, "GET") == 0)
		answer = vm_answer(target);
	else if (count == 5 && strcmp(request->method, "POST") == 0)
		answer = operate(emu, target, parts[4], request);
	else
		answer = answer_error(404, "no such resource");
	g_strfreev(parts);
	return answer;
}

static json_t *state_of(const emulator_t *emu, const target_t *target)
{
	char address[64];
	json_t *state;

	g_snprintf(address, sizeof(address), "%s:%u", emu->options.address, target->port);
	state = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:b, s:b, s:i, s:I, s:I, s:i, s:o}",
		"vm", target->vm, "data_centre", target->data_centre, "rack", target->rack, "pool",
		target->told_pool == NULL ? "" : target->told_pool, "address", address, "mode",
		behaviour_name(target->mode), "state", state_names[target->vm_state], "image",
		target->image, "epoch", (json_int_t)target->epoch, "cordoned", target->cordoned,
		"leaving", target_leaving(target), "in_flight", target->in_flight, "served",
		(json_int_t)target->served, "refused", (json_int_t)target->refused, "connections",
		target->conns->len, "tasks", task_report(target, clock_now_us()));
	return state;
}

static bool selected(const target_t *target, const request_t *request)
{
	const char *vm = param(request, "vm");
	const char *dc = param(request, "dc");
	const char *rack = param(request, "rack");

	return (vm == NULL || strcmp(vm, "*") == 0 || strcmp(vm, target->vm) == 0) &&
	       (dc == NULL || strcmp(dc, target->data_centre) == 0) &&
	       (rack == NULL || strcmp(rack, target->rack) == 0);
}

static answer_t get_state(emulator_t *emu, const request_t *request)
{
	json_t *list = json_array();

	for (unsigned i = 0; i < emu->count; i++) {
		if (selected(&emu->targets[i], request))
			json_array_append_new(list, state_of(emu, &emu->targets[i]));
	}
	return answer_json(200, list);
}

static answer_t set_behaviour(emulator_t *emu, const request_t *request)
{
	const char *mode_word = param(request, "mode");
	const char *after_word = param(request, "after_reboot");
	const char *ms = param(request, "ms");
	behaviour_t mode = mode_word == NULL ? MODE_COUNT : behaviour_parse(mode_word);
	behaviour_t after = after_word == NULL ? MODE_COUNT : behaviour_parse(after_word);
	int changed = 0;

	if (mode == MODE_COUNT && after == MODE_COUNT)
		return answer_error(400, "mode or after_reboot expected");
	for (unsigned i = 0; i < emu->count; i++) {
		target_t *target = &emu->targets[i];

		if (!selected(target, request))
			continue;
		if (mode != MODE_COUNT)
			target_set_mode(emu, target, mode,
					ms == NULL ? 0 : (uint32_t)strtoul(ms, NULL, 10));
		if (after != MODE_COUNT)
			target->after_reboot = after;
		changed++;
	}
	return answer_json(changed == 0 ? 404 : 200, json_pack("{s:i}", "changed", changed));
}

static answer_t set_platform(emulator_t *emu, const request_t *request)
{
	const char *word = param(request, "mode");
	behaviour_t mode = word == NULL ? MODE_COUNT : behaviour_parse(word);

	if (mode != MODE_NORMAL && mode != MODE_FAIL && mode != MODE_SILENT)
		return answer_error(400, "mode normal, fail or silent expected");
	emu->platform_mode = mode;
	return answer_json(200, json_pack("{s:s}", "mode", word));
}

answer_t control_call(emulator_t *emu, request_t *request)
{
	bool post = strcmp(request->method, "POST") == 0;

	if (!post && strcmp(request->path, "/state") == 0)
		return get_state(emu, request);
	if (post && strcmp(request->path, "/behaviour") == 0)
		return set_behaviour(emu, request);
	if (post && strcmp(request->path, "/platform") == 0)
		return set_platform(emu, request);
	return answer_error(404, "expected GET /state, POST /behaviour or POST /platform");
}
