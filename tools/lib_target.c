#include "lib_emulator.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

static const char *const mode_names[MODE_COUNT] = {
	[MODE_NORMAL] = "normal",     [MODE_SLOW] = "slow",
	[MODE_FAIL] = "fail",	      [MODE_REFUSE] = "refuse",
	[MODE_SILENT] = "silent",     [MODE_SILENT_OPEN] = "silent-open",
	[MODE_TRUNCATE] = "truncate", [MODE_WRONG_ID] = "wrong-id",
	[MODE_CLOSE] = "close",	      [MODE_MUTE] = "mute",
	[MODE_LEAVING] = "leaving",   [MODE_KILLED] = "killed",
};

const char *behaviour_name(behaviour_t mode)
{
	return mode < MODE_COUNT ? mode_names[mode] : "unknown";
}

behaviour_t behaviour_parse(const char *name)
{
	behaviour_t mode = MODE_NORMAL;

	while (mode < MODE_COUNT && strcmp(mode_names[mode], name) != 0)
		mode++;
	return mode;
}

/* Initialises a target. Data centres are assigned in turn; within a data centre, one rack after the
 * other is filled, and pool hints are assigned in turn. */
static void init_target(emulator_t *emu, unsigned index)
{
	const emulator_options_t *options = &emu->options;
	unsigned dc_count = g_strv_length(options->data_centres);
	unsigned index_in_dc = index / dc_count;
	const char *dc = options->data_centres[index % dc_count];

	emu->targets[index] = (target_t){
		.vm = g_strdup_printf("%s%03u", options->vm_prefix, index + 1),
		.data_centre = dc,
		.rack = g_strdup_printf("%s-r%u", dc, index_in_dc / options->rack_size + 1),
		.pool_hint = options->pools[index_in_dc % g_strv_length(options->pools)],
		.port = (uint16_t)(options->first_port + index),
		.listen_fd = -1,
		.conns = g_ptr_array_new(),
		.unanswered = g_ptr_array_new(),
		.tasks = g_ptr_array_new_with_free_func(task_free),
		.image = g_strdup(options->image),
		/* The first announcements of the targets are spread over one period. */
		.announce_due_us = clock_now_us() + (uint64_t)options->announce_interval_ms *
							    US_PER_MS * index /
							    options->target_count,
		.next_entry = index_in_dc,
	};
}

int emulator_init(emulator_t *emu, const emulator_options_t *options)
{
	*emu = (emulator_t){
		.options = *options,
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.timers_changed = PTHREAD_COND_INITIALIZER,
		.targets = g_new0(target_t, options->target_count),
		.target_count = options->target_count,
		.timers = g_sequence_new(NULL),
		.seen_ops = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.platform_unanswered = g_ptr_array_new(),
	};
	for (unsigned i = 0; i < emu->target_count; i++)
		init_target(emu, i);
	if (options->journal_path == NULL)
		return 0;
	emu->journal = fopen(options->journal_path, "ae");
	if (emu->journal == NULL) {
		perror(options->journal_path);
		return -1;
	}
	/* Line buffering, so that the journal can be read while the emulator runs. */
	(void)setvbuf(emu->journal, NULL, _IOLBF, 1 << 16);
	return 0;
}

target_t *target_find(emulator_t *emu, const char *vm)
{
	for (unsigned i = 0; i < emu->target_count; i++) {
		if (strcmp(emu->targets[i].vm, vm) == 0)
			return &emu->targets[i];
	}
	return NULL;
}

bool target_is_leaving(const target_t *target)
{
	return target->mode == MODE_LEAVING || target->vm_state != VM_RUNNING;
}

/* Closes the connections of requests that never get a response. */
static void drop_unanswered(GPtrArray *unanswered)
{
	for (unsigned i = 0; i < unanswered->len; i++) {
		request_t *request = g_ptr_array_index(unanswered, i);

		request->drop = true;
		request->resumed = true;
		MHD_resume_connection(request->connection);
	}
	g_ptr_array_set_size(unanswered, 0);
}

void target_kill(emulator_t *emu, target_t *target)
{
	target->generation++;
	target->in_flight = 0;
	target->served = 0;
	target->epoch = 0;
	target->cordoned = false;
	g_ptr_array_set_size(target->tasks, 0);
	if (target->listen_fd >= 0)
		close(target->listen_fd);
	target->listen_fd = -1;
	for (unsigned i = 0; i < target->conns->len; i++) {
		const conn_t *conn = g_ptr_array_index(target->conns, i);

		(void)shutdown(conn->fd, SHUT_RDWR);
	}
	drop_unanswered(target->unanswered);
	/* The requests being served now were accepted under an older generation, so end_service()
	 * drops them. */
}

void target_set_mode(emulator_t *emu, target_t *target, behaviour_t mode, uint32_t slow_ms)
{
	if (mode == MODE_SILENT_OPEN) {
		for (unsigned i = 0; i < target->conns->len; i++)
			((conn_t *)g_ptr_array_index(target->conns, i))->silent = true;
		return;
	}
	if (mode == MODE_KILLED)
		target_kill(emu, target);
	else if (target->mode == MODE_SILENT)
		drop_unanswered(target->unanswered);
	target->mode = mode;
	target->slow_ms = slow_ms;
}

static void end_reboot(emulator_t *emu, target_t *target)
{
	target->vm_state = VM_RUNNING;
	if (target->next_image != NULL) {
		g_free(target->image);
		target->image = target->next_image;
		target->next_image = NULL;
	}
	target->mode = MODE_NORMAL;
	if (target->after_reboot != MODE_NORMAL)
		target_set_mode(emu, target, target->after_reboot, 0);
	target->after_reboot = MODE_NORMAL;
}

void target_update(emulator_t *emu, target_t *target, uint64_t now_us)
{
	if (target->vm_state == VM_REBOOTING && now_us >= target->reboot_end_us)
		end_reboot(emu, target);
	target_update_tasks(target, now_us);
	if (target->vm_state == VM_DRAINING && target->in_flight == 0 &&
	    target_count_running_tasks(target) == 0)
		target->vm_state = VM_DRAINED;
	if (target->listen_fd < 0 && target->mode != MODE_KILLED &&
	    target->vm_state != VM_REBOOTING)
		(void)target_open_listener(emu, target);
}

void journal_write_event(emulator_t *emu, const char *event, const request_t *request)
{
	json_t *line;

	if (emu->journal == NULL)
		return;
	line = json_pack("{s:I, s:s, s:s, s:s*, s:s*, s:s, s:s, s:I, s:I}", "time_us",
			 (json_int_t)clock_now_us(), "event", event, "vm", request->target->vm,
			 "request", request->id, "key", request->key, "method", request->method,
			 "path", request->path, "epoch", (json_int_t)request->epoch, "told_epoch",
			 (json_int_t)request->target->epoch);
	if (line == NULL)
		return;
	if (json_dumpf(line, emu->journal, JSON_COMPACT) == 0)
		(void)fputc('\n', emu->journal);
	json_decref(line);
}
