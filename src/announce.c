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

/* Reports are sent in batches; the delay adds to the bound of a leaving target. */
#define BATCH_MS 250
/* An unchanged report is passed on at most this often. It must fit several times into the routing
 * lease, since a single lost message must not end the lease. */
#define REFRESH_DIVISOR 3
/* A VM's registration is proposed at most this often. */
#define REGISTER_RETRY_US (2 * US_PER_S)

/* Different targets that may announce themselves to one process; the largest fleet planned for has
 * 1,600. Targets that were silent for a minute make room for others. */
#define TARGETS_MAX 8192
#define STALE_US (60 * US_PER_S)

/** What was last passed on about a target. */
typedef struct {
	uint64_t heard_us; /**< latest announcement */
	uint64_t passed_us;
	uint64_t registered_us; /**< last proposal of a registration */
	uint64_t epoch;
	bool cordoned;
	bool leaving;
} passed_t;

struct announce {
	node_t *node;
	timer_sub_t batch_timer;
	GHashTable *passed; /**< VM id to passed_t */
	GPtrArray *reports; /**< Lp__TargetReport, owned, to be sent */
	uint32_t leader;    /**< when the latest batch was sent */
	pause_watch_t pause_watch;
	metrics_counter_t *received;
	metrics_counter_t *invalid;
	metrics_counter_t *contradictions;
	metrics_counter_t *distrusted;
};

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static uint64_t number_of(const json_t *object, const char *key)
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
		if (text_of(body, required[i])[0] == '\0')
			return "one of vm, organisation, data_centre, rack, address is missing";
	}
	if (settings_split_address(text_of(body, "address"), ip, sizeof(ip), &port) != 0)
		return "address is not IP:port";
	if (strcmp(text_of(body, "data_centre"), node->settings->data_centre) != 0)
		return "the target is in another data centre than this entry process";
	return NULL;
}

static uint32_t task_state(const char *name)
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
		usage->job = (char *)text_of(task, "job");
		usage->attempt = (uint32_t)number_of(task, "attempt");
		usage->state = task_state(text_of(task, "state"));
		usage->cores_milli = (uint32_t)number_of(task, "cores_milli");
		usage->mem_mib = (uint32_t)number_of(task, "mem_mib");
		usage->run_ms = number_of(task, "run_ms");
		usage->result = (char *)text_of(task, "result");
		report->tasks[i] = usage;
	}
}

static void fill_registration(Lp__VmRegister *reg, const json_t *body)
{
	lp__vm_register__init(reg);
	reg->vm = (char *)text_of(body, "vm");
	reg->organisation = (char *)text_of(body, "organisation");
	reg->data_centre = (char *)text_of(body, "data_centre");
	reg->rack = (char *)text_of(body, "rack");
	reg->address = (char *)text_of(body, "address");
	reg->pool_hint = (char *)text_of(body, "pool");
	reg->image = (char *)text_of(body, "image");
	reg->cores = (uint32_t)number_of(body, "cores");
	reg->mem_mib = (uint32_t)number_of(body, "mem_mib");
	reg->accelerators = (uint32_t)number_of(body, "accelerators");
	reg->slots = (uint32_t)number_of(body, "slots");
	reg->connections = (uint32_t)number_of(body, "connections");
}

/** Fills a report; strings belong to body or mem. */
static void fill_report(TALLOC_CTX *mem, Lp__TargetReport *report, const json_t *body)
{
	lp__target_report__init(report);
	report->vm = (char *)text_of(body, "vm");
	report->echoed_epoch = number_of(body, "epoch");
	report->echoed_cordoned = json_is_true(json_object_get(body, "cordoned"));
	report->leaving = strcmp(text_of(body, "state"), "leaving") == 0;
	report->in_flight = (uint32_t)number_of(body, "in_flight");
	report->served = number_of(body, "served");
	report->reg = talloc(mem, Lp__VmRegister);
	fill_registration(report->reg, body);
	fill_tasks(mem, report, json_object_get(body, "tasks"));
}

/**
 * Takes a report that arrived now.
 * @return false when it may have waited in the sockets of this process while it was frozen
 */
static bool update_local(announce_t *announce, const Lp__TargetReport *report, uint64_t now_us)
{
	node_t *node = announce->node;
	uint64_t age_us = report->age_ms * US_PER_MS;
	const route_announcement_t announcement = {
		.vm = report->vm,
		.at_us = now_us > age_us ? now_us - age_us : 0,
		.echoed_epoch = report->echoed_epoch,
		.echoed_cordoned = report->echoed_cordoned,
		.leaving = report->leaving,
	};

	if (!pause_watch_trusts(&announce->pause_watch, now_us)) {
		metrics_add(announce->distrusted, 1);
		return false;
	}
	health_report(&node->health, report, now_us);
	route_table_announce(node->routes, &announcement);
	job_runner_report(node->jobs, report);
	return true;
}

static passed_t *passed_find(announce_t *announce, const char *vm)
{
	passed_t *passed = g_hash_table_lookup(announce->passed, vm);

	if (passed == NULL) {
		passed = g_new0(passed_t, 1);
		g_hash_table_insert(announce->passed, g_strdup(vm), passed);
	}
	return passed;
}

static gboolean is_stale(gpointer key, gpointer value, gpointer now_us)
{
	const passed_t *passed = value;

	return *(const uint64_t *)now_us - passed->heard_us > STALE_US;
}

/** Bounds the memory that announcements of ever new VM ids can take. */
static bool has_room(announce_t *announce, const char *vm, uint64_t now_us)
{
	if (g_hash_table_size(announce->passed) < TARGETS_MAX ||
	    g_hash_table_contains(announce->passed, vm))
		return true;
	return g_hash_table_foreach_remove(announce->passed, is_stale, &now_us) > 0;
}

/** Queues a report for the peers when it changed or the last one is old. */
static void pass_on(announce_t *announce, const Lp__TargetReport *report, uint64_t now_us)
{
	passed_t *passed = passed_find(announce, report->vm);
	uint64_t refresh_us =
		announce->node->settings->timing.routing_lease_ms * US_PER_MS / REFRESH_DIVISOR;
	bool changed = passed->epoch != report->echoed_epoch ||
		       passed->leaving != report->leaving ||
		       passed->cordoned != report->echoed_cordoned || report->n_tasks > 0;
	const fleet_vm_t *vm = fleet_vm_find(&announce->node->fleet, report->vm);
	Lp__TargetReport copy = *report;

	passed->heard_us = now_us;
	/* With one announcement a second, every second unchanged one is passed on. */
	if (!changed && now_us - passed->passed_us < refresh_us)
		return;
	passed->passed_us = now_us;
	passed->epoch = report->echoed_epoch;
	passed->leaving = report->leaving;
	passed->cordoned = report->echoed_cordoned;
	/* The leader needs the image to see a reboot complete; otherwise the log has it all. */
	if (vm != NULL && strcmp(vm->image, report->reg->image) == 0)
		copy.reg = NULL;
	g_ptr_array_add(announce->reports, message_copy(&copy.base));
}

static void forget_passed(announce_t *announce)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, announce->passed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((passed_t *)value)->passed_us = 0;
}

static void send_batch(void *arg, uint64_t now_us)
{
	announce_t *announce = arg;
	node_t *node = announce->node;
	uint32_t leader = replica_leader(node->replica);
	Lp__TargetReports reports = LP__TARGET_REPORTS__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	pause_watch_trusts(&announce->pause_watch, now_us);
	/* A new leader has to hear of every target soon, not only at the next refresh. */
	if (leader != announce->leader) {
		announce->leader = leader;
		forget_passed(announce);
	}
	if (announce->reports->len == 0)
		return;
	reports.n_reports = announce->reports->len;
	reports.reports = (Lp__TargetReport **)announce->reports->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_TARGETS;
	envelope.targets = &reports;
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_at(node->peers, i);
		bool local = info->data_centre != NULL &&
			     strcmp(info->data_centre, node->settings->data_centre) == 0;

		if (local || info->node_id == leader)
			peer_send(node->peers, info->node_id, &envelope);
	}
	g_ptr_array_set_size(announce->reports, 0);
}

void announce_reports(announce_t *announce, const Lp__TargetReports *reports)
{
	uint64_t now_us = clock_now_us();

	for (size_t i = 0; i < reports->n_reports; i++)
		update_local(announce, reports->reports[i], now_us);
}

/** True when the log's record of the VM differs from the announcement. */
static bool registration_differs(const fleet_vm_t *vm, const Lp__VmRegister *reg)
{
	return strcmp(vm->data_centre, reg->data_centre) != 0 || strcmp(vm->rack, reg->rack) != 0 ||
	       strcmp(vm->address, reg->address) != 0;
}

static void on_registered(void *arg, const Lp__Result *result)
{
	announce_t *announce = arg;

	if (result->code == LP__RESULT_CODE__RESULT_CONFLICT)
		metrics_add(announce->contradictions, 1);
}

/** An announcement that contradicts the log must not renew the lease of the VM in the log. A
 * replacement announces itself again once its registration was accepted. */
static bool contradicts_record(const announce_t *announce, const Lp__VmRegister *reg)
{
	const fleet_vm_t *vm = fleet_vm_find(&announce->node->fleet, reg->vm);

	return vm != NULL && registration_differs(vm, reg);
}

static void register_vm(announce_t *announce, Lp__VmRegister *reg, uint64_t now_us)
{
	node_t *node = announce->node;
	const fleet_vm_t *vm = fleet_vm_find(&node->fleet, reg->vm);
	passed_t *passed = passed_find(announce, reg->vm);
	Lp__Command command = LP__COMMAND__INIT;

	if (vm != NULL && !registration_differs(vm, reg))
		return;
	if (passed->registered_us != 0 && now_us - passed->registered_us < REGISTER_RETRY_US)
		return;
	passed->registered_us = now_us;
	command.body_case = LP__COMMAND__BODY_VM_REGISTER;
	command.vm_register = reg;
	node_propose(node, &command, on_registered, announce);
}

static void reply_assignment(announce_t *announce, http_request_t *request,
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
			     job_runner_leases(announce->node, report)));
}

void announce_handle(announce_t *announce, http_request_t *request)
{
	uint64_t now_us = clock_now_us();
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *body = json_reply_body(request);
	const char *problem = check_announcement(announce->node, body);
	Lp__TargetReport report;

	metrics_add(announce->received, 1);
	if (problem != NULL) {
		metrics_add(announce->invalid, 1);
		json_reply_error(request, 400, problem);
		goto out;
	}
	if (!has_room(announce, text_of(body, "vm"), now_us)) {
		metrics_add(announce->invalid, 1);
		json_reply_error(request, 503, "too many different VMs announce themselves here");
		goto out;
	}
	fill_report(mem, &report, body);
	register_vm(announce, report.reg, now_us);
	if (contradicts_record(announce, report.reg)) {
		metrics_add(announce->contradictions, 1);
		json_reply_error(request, 409,
				 "the VM is registered with another address, rack or data centre");
		goto out;
	}
	if (update_local(announce, &report, now_us))
		pass_on(announce, &report, now_us);
	reply_assignment(announce, request, &report);
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
	announce->passed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	announce->reports = g_ptr_array_new_with_free_func(free_report);
	announce->received = metrics_counter(node->metrics, "lavenderpass_announcements_total", "");
	announce->invalid =
		metrics_counter(node->metrics, "lavenderpass_announcements_invalid_total", "");
	announce->distrusted =
		metrics_counter(node->metrics, "lavenderpass_announcements_distrusted_total", "");
	announce->contradictions = metrics_counter(
		node->metrics, "lavenderpass_announcements_contradicting_total", "");
	timer_subscribe(&node->timers, &announce->batch_timer, BATCH_MS * US_PER_MS, send_batch,
			announce);
	return announce;
}

void announce_destroy(announce_t *announce)
{
	timer_unsubscribe(&announce->node->timers, &announce->batch_timer);
	g_ptr_array_unref(announce->reports);
	g_hash_table_unref(announce->passed);
	talloc_free(announce);
}
