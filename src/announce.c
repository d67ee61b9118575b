#define G_LOG_DOMAIN "announce"

#include "announce.h"

#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "clock.h"
#include "job_runner.h"
#include "json_reply.h"
#include "log.h"
#include "message.h"
#include "pause_watch.h"

/*
 * Interval at which queued reports are sent to other processes. It delays the time at which they
 * learn that a target is leaving.
 */
#define BATCH_INTERVAL_MS 250
/*
 * An unchanged report is forwarded again after the routing lease divided by this number. A lease
 * thus spans several reports and does not end because one message is lost.
 */
#define REFRESH_DIVISOR 3
/* Minimum time between two proposals of this process to register the same VM. */
#define REGISTER_INTERVAL_US (2 * US_PER_S)

/*
 * Maximum number of targets that a process keeps track of; the largest planned fleet has 1,600. At
 * the maximum, a new target is tracked only if targets that were silent for a minute can be
 * removed.
 */
#define MAX_TARGETS 8192
#define STALE_AFTER_US (60 * US_PER_S)

/** What this process last forwarded to its peers about a target. */
typedef struct {
	uint64_t heard_us;     /**< time of the target's latest announcement */
	uint64_t forwarded_us; /**< time of the latest forwarded report; 0: forward the next */
	uint64_t registration_proposed_us; /**< latest proposal of a registration; 0: never */
	uint64_t epoch;
	bool cordoned;
	bool leaving;
} forward_state_t;

struct announce {
	node_t *node;
	timer_sub_t batch_timer;
	GHashTable *forward_states; /**< VM id -> forward_state_t */
	GPtrArray *queued_reports;  /**< queue of Lp__TargetReport for the next batch; owned */
	uint32_t batch_leader;	    /**< node id of the leader at the latest batch; 0: unknown */
	pause_watch_t pause_watch;
	metrics_counter_t *received;
	metrics_counter_t *invalid;
	metrics_counter_t *contradictions;
	metrics_counter_t *distrusted;
};

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static uint64_t get_uint(const json_t *object, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(object, key));

	return value < 0 ? 0 : (uint64_t)value;
}

static const char *check_announcement(const node_t *node, const json_t *body)
{
	static const char *const required[] = {"vm", "organisation", "data_centre", "rack",
					       "address"};
	char ip[64];
	uint16_t port;

	if (!json_is_object(body))
		return "the body is not a JSON object";
	for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
		if (get_string(body, required[i])[0] == '\0')
			return "one of vm, organisation, data_centre, rack, address is missing";
	}
	if (settings_split_address(get_string(body, "address"), ip, sizeof(ip), &port) != 0)
		return "address is not IP:port";
	if (strcmp(get_string(body, "data_centre"), node->settings->data_centre) != 0)
		return "the target is in another data centre than this entry process";
	return NULL;
}

static uint32_t parse_task_state(const char *name)
{
	static const char *const names[] = {"running", "done", "failed", "checkpointed", "stopped"};

	for (uint32_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0)
			return i;
	}
	return 0;
}

static void fill_tasks(TALLOC_CTX *mem, Lp__TargetReport *report, const json_t *tasks)
{
	size_t count = json_array_size(tasks);

	report->has_tasks = json_is_array(tasks);
	report->n_tasks = count;
	report->tasks = talloc_array(mem, Lp__TaskUsage *, count);
	for (size_t i = 0; i < count; i++) {
		const json_t *task = json_array_get(tasks, i);
		Lp__TaskUsage *usage = talloc(mem, Lp__TaskUsage);

		lp__task_usage__init(usage);
		usage->job = (char *)get_string(task, "job");
		usage->attempt = (uint32_t)get_uint(task, "attempt");
		usage->state = parse_task_state(get_string(task, "state"));
		usage->cores_milli = (uint32_t)get_uint(task, "cores_milli");
		usage->mem_mib = (uint32_t)get_uint(task, "mem_mib");
		usage->run_ms = get_uint(task, "run_ms");
		usage->result = (char *)get_string(task, "result");
		report->tasks[i] = usage;
	}
}

static void fill_registration(Lp__VmRegister *reg, const json_t *body)
{
	lp__vm_register__init(reg);
	reg->vm = (char *)get_string(body, "vm");
	reg->organisation = (char *)get_string(body, "organisation");
	reg->data_centre = (char *)get_string(body, "data_centre");
	reg->rack = (char *)get_string(body, "rack");
	reg->address = (char *)get_string(body, "address");
	reg->pool_hint = (char *)get_string(body, "pool");
	reg->image = (char *)get_string(body, "image");
	reg->cores = (uint32_t)get_uint(body, "cores");
	reg->mem_mib = (uint32_t)get_uint(body, "mem_mib");
	reg->accelerators = (uint32_t)get_uint(body, "accelerators");
	reg->slots = (uint32_t)get_uint(body, "slots");
	reg->connections = (uint32_t)get_uint(body, "connections");
}

/**
 * Fills a report from an announcement. The report's strings point into body; its arrays are
 * allocated in mem.
 */
static void fill_report(TALLOC_CTX *mem, Lp__TargetReport *report, const json_t *body)
{
	lp__target_report__init(report);
	report->vm = (char *)get_string(body, "vm");
	report->echoed_epoch = get_uint(body, "epoch");
	report->echoed_cordoned = json_is_true(json_object_get(body, "cordoned"));
	report->leaving = strcmp(get_string(body, "state"), "leaving") == 0;
	report->in_flight = (uint32_t)get_uint(body, "in_flight");
	report->served = get_uint(body, "served");
	report->reg = talloc(mem, Lp__VmRegister);
	fill_registration(report->reg, body);
	fill_tasks(mem, report, json_object_get(body, "tasks"));
}

/**
 * Updates this process's view of the target (health, routes, tasks) from a report.
 * @return false when the report was ignored, because this process was frozen recently: the report
 * may have waited in a socket meanwhile and be outdated
 */
static bool update_local_view(announce_t *announce, const Lp__TargetReport *report, uint64_t now_us)
{
	node_t *node = announce->node;
	uint64_t age_us = report->age_ms * US_PER_MS;
	const route_announcement_t announcement = {
		.vm = report->vm,
		.announced_us = now_us > age_us ? now_us - age_us : 0,
		.echoed_epoch = report->echoed_epoch,
		.echoed_cordoned = report->echoed_cordoned,
		.leaving = report->leaving,
	};

	if (!pause_watch_trusts(&announce->pause_watch, now_us)) {
		metrics_add(announce->distrusted, 1);
		return false;
	}
	health_report(&node->health, report, now_us);
	route_table_set_announcement(node->routes, &announcement);
	job_runner_handle_report(node->jobs, report);
	return true;
}

static forward_state_t *get_forward_state(announce_t *announce, const char *vm)
{
	forward_state_t *state = g_hash_table_lookup(announce->forward_states, vm);

	if (state == NULL) {
		state = g_new0(forward_state_t, 1);
		g_hash_table_insert(announce->forward_states, g_strdup(vm), state);
	}
	return state;
}

static gboolean is_stale(gpointer key, gpointer value, gpointer now_us)
{
	const forward_state_t *state = value;

	return *(const uint64_t *)now_us - state->heard_us > STALE_AFTER_US;
}

/**
 * Makes sure that the VM can be tracked, removing stale targets if needed. This bounds the memory
 * that announcements with ever new VM ids can use.
 * @return false when MAX_TARGETS are tracked and none of them is stale
 */
static bool ensure_room(announce_t *announce, const char *vm, uint64_t now_us)
{
	if (g_hash_table_size(announce->forward_states) < MAX_TARGETS ||
	    g_hash_table_contains(announce->forward_states, vm))
		return true;
	return g_hash_table_foreach_remove(announce->forward_states, is_stale, &now_us) > 0;
}

/**
 * Queues a report for the peers if it contains tasks, if it differs from the last one forwarded,
 * or if that one was forwarded too long ago.
 */
static void forward_report(announce_t *announce, const Lp__TargetReport *report, uint64_t now_us)
{
	forward_state_t *state = get_forward_state(announce, report->vm);
	uint64_t refresh_us =
		announce->node->settings->timing.routing_lease_ms * US_PER_MS / REFRESH_DIVISOR;
	bool changed = state->epoch != report->echoed_epoch || state->leaving != report->leaving ||
		       state->cordoned != report->echoed_cordoned || report->n_tasks > 0;
	const fleet_vm_t *vm = fleet_vm_find(&announce->node->fleet, report->vm);
	Lp__TargetReport copy = *report;

	state->heard_us = now_us;
	/* With one announcement per second, every other unchanged report is forwarded. */
	if (!changed && now_us - state->forwarded_us < refresh_us)
		return;
	state->forwarded_us = now_us;
	state->epoch = report->echoed_epoch;
	state->leaving = report->leaving;
	state->cordoned = report->echoed_cordoned;
	/*
	 * The report of a registered VM need not contain the registration, unless the image is new:
	 * by the new image, the leader recognises that a reboot is complete.
	 */
	if (vm != NULL && strcmp(vm->image, report->reg->image) == 0)
		copy.reg = NULL;
	g_ptr_array_add(announce->queued_reports, message_copy(&copy.base));
}

static void reset_forward_times(announce_t *announce)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, announce->forward_states);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((forward_state_t *)value)->forwarded_us = 0;
}

static void send_batch(void *arg, uint64_t now_us)
{
	announce_t *announce = arg;
	node_t *node = announce->node;
	uint32_t leader = replica_leader(node->replica);
	Lp__TargetReports reports = LP__TARGET_REPORTS__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	/*
	 * pause_watch must be updated regularly to detect freezes, even when no announcements
	 * arrive.
	 */
	pause_watch_trusts(&announce->pause_watch, now_us);
	/*
	 * A new leader must learn of every target soon, so the next report about each target is
	 * forwarded even if it is unchanged and not due yet.
	 */
	if (leader != announce->batch_leader) {
		announce->batch_leader = leader;
		reset_forward_times(announce);
	}
	if (announce->queued_reports->len == 0)
		return;
	reports.n_reports = announce->queued_reports->len;
	reports.reports = (Lp__TargetReport **)announce->queued_reports->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_TARGETS;
	envelope.targets = &reports;
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_info_at(node->peers, i);
		bool local = info->data_centre != NULL &&
			     strcmp(info->data_centre, node->settings->data_centre) == 0;

		if (local || info->node_id == leader)
			peer_send(node->peers, info->node_id, &envelope);
	}
	g_ptr_array_set_size(announce->queued_reports, 0);
}

void announce_handle_forwarded_reports(announce_t *announce, const Lp__TargetReports *reports)
{
	uint64_t now_us = clock_now_us();

	for (size_t i = 0; i < reports->n_reports; i++)
		update_local_view(announce, reports->reports[i], now_us);
}

/** True when the VM is registered with another data centre, rack or address than reg contains. */
static bool registration_differs(const fleet_vm_t *vm, const Lp__VmRegister *reg)
{
	return strcmp(vm->data_centre, reg->data_centre) != 0 || strcmp(vm->rack, reg->rack) != 0 ||
	       strcmp(vm->address, reg->address) != 0;
}

static void on_registration_result(void *arg, const Lp__Result *result)
{
	announce_t *announce = arg;

	if (result->code == LP__RESULT_CODE__RESULT_CONFLICT)
		metrics_add(announce->contradictions, 1);
}

/**
 * True when the announcement does not match the VM's registration. Such an announcement must not
 * renew the lease of the registered VM. If it comes from a replacement of the VM, the replacement's
 * announcements are accepted once it is registered.
 */
static bool contradicts_registration(const announce_t *announce, const Lp__VmRegister *reg)
{
	const fleet_vm_t *vm = fleet_vm_find(&announce->node->fleet, reg->vm);

	return vm != NULL && registration_differs(vm, reg);
}

static void propose_registration(announce_t *announce, Lp__VmRegister *reg, uint64_t now_us)
{
	node_t *node = announce->node;
	const fleet_vm_t *vm = fleet_vm_find(&node->fleet, reg->vm);
	forward_state_t *state = get_forward_state(announce, reg->vm);
	Lp__Command command = LP__COMMAND__INIT;

	if (vm != NULL && !registration_differs(vm, reg))
		return;
	if (state->registration_proposed_us != 0 &&
	    now_us - state->registration_proposed_us < REGISTER_INTERVAL_US)
		return;
	state->registration_proposed_us = now_us;
	command.body_case = LP__COMMAND__BODY_VM_REGISTER;
	command.vm_register = reg;
	node_propose(node, &command, on_registration_result, announce);
}

static void reply_with_assignment(announce_t *announce, http_request_t *request,
				  const Lp__TargetReport *report)
{
	const fleet_vm_t *vm = fleet_vm_find(&announce->node->fleet, report->vm);

	if (vm == NULL) {
		json_reply(request, 202,
			   json_pack("{s:i, s:s, s:b}", "epoch", 0, "pool", "", "cordoned", 0));
		return;
	}
	json_reply(request, 200,
		   json_pack("{s:I, s:s, s:b, s:o}", "epoch", (json_int_t)vm->epoch, "pool",
			     vm->pool->name, "cordoned", !fleet_vm_routable(vm), "leases",
			     job_runner_renew_leases(announce->node, report)));
}

void announce_handle(announce_t *announce, http_request_t *request)
{
	uint64_t now_us = clock_now_us();
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *body = json_request_body(request);
	const char *problem = check_announcement(announce->node, body);
	Lp__TargetReport report;

	metrics_add(announce->received, 1);
	if (problem != NULL) {
		metrics_add(announce->invalid, 1);
		json_reply_error(request, 400, problem);
		goto out;
	}
	if (!ensure_room(announce, get_string(body, "vm"), now_us)) {
		metrics_add(announce->invalid, 1);
		json_reply_error(request, 503, "too many different VMs announce themselves here");
		goto out;
	}
	fill_report(mem, &report, body);
	propose_registration(announce, report.reg, now_us);
	if (contradicts_registration(announce, report.reg)) {
		metrics_add(announce->contradictions, 1);
		json_reply_error(request, 409,
				 "the VM is registered with another address, rack or data centre");
		goto out;
	}
	if (update_local_view(announce, &report, now_us))
		forward_report(announce, &report, now_us);
	reply_with_assignment(announce, request, &report);
out:
	json_decref(body);
	talloc_free(mem);
}

static void free_report(gpointer data)
{
	lp__target_report__free_unpacked(data, NULL);
}

announce_t *announce_create(node_t *node)
{
	announce_t *announce = talloc_zero(NULL, announce_t);

	announce->node = node;
	announce->forward_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	announce->queued_reports = g_ptr_array_new_with_free_func(free_report);
	announce->received = metrics_counter(node->metrics, "lavenderpass_announcements_total", "");
	announce->invalid =
		metrics_counter(node->metrics, "lavenderpass_announcements_invalid_total", "");
	announce->distrusted =
		metrics_counter(node->metrics, "lavenderpass_announcements_distrusted_total", "");
	announce->contradictions = metrics_counter(
		node->metrics, "lavenderpass_announcements_contradicting_total", "");
	timer_subscribe(&node->timers, &announce->batch_timer, BATCH_INTERVAL_MS * US_PER_MS,
			send_batch, announce);
	return announce;
}

void announce_destroy(announce_t *announce)
{
	timer_unsubscribe(&announce->node->timers, &announce->batch_timer);
	g_ptr_array_unref(announce->queued_reports);
	g_hash_table_unref(announce->forward_states);
	talloc_free(announce);
}
