#define G_LOG_DOMAIN "relay"

#include "vm_relay.h"

#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>

#include <glib.h>
#include <talloc.h>

#include "clock.h"
#include "log.h"
#include "rendezvous.h"

/* Number of VMs up to which the leader sends all VM requests itself. With so few VMs, the requests
 * take less than a tenth of a core even in a surge, and no edge process is needed that could fail
 * on the way. */
#define DIRECT_VMS_MAX 120
/* Timeouts of requests forwarded to an edge process. Longer than the edge process's own timeouts
 * (700 ms, 300 ms for a start, 450 ms plus the wait for a hold, 500 ms plus the longest time of a
 * stop), to leave time for its result to arrive. */
#define VM_TIMEOUT_MS 1000
#define STOP_MARGIN_MS 800
#define START_TIMEOUT_MS 450
#define HOLD_MARGIN_MS 650
#define TIMEOUT_CHECK_MS 100
/* Most edge processes to which a request is offered, until the queue of one takes it. */
#define EDGES_TRIED_MAX 2
/* Key of all edge processes in vm_relay_t.edge_nodes. No data centre has an empty name. */
#define ANY_DATA_CENTRE ""
/* Upper limit of the time by which timeouts are extended while results wait to be read. Less than
 * the time for which an edge process that does not answer at all may hold up its VMs. */
#define INPUT_DELAY_MAX_US (1500 * US_PER_MS)
/* Weight of one result in the falling average of the input delay, as a divisor. */
#define INPUT_DELAY_DECAY 16

typedef struct relay_call {
	TAILQ_ENTRY(relay_call) link;
	uint64_t seq;
	uint32_t edge_node;
	uint64_t sent_us;
	uint64_t deadline_us;
	uint64_t expires_us;  /* time until which the edge process may send the request */
	bool overdue;	      /* the deadline had passed at the latest check */
	vm_reply_code_t code; /* result of the call when it is given up */
	vm_reply_fn done;
	void *arg;
} relay_call_t;

TAILQ_HEAD(relay_calls, relay_call);

struct vm_relay {
	timer_service_t *timers;
	timer_sub_t timeout_check;
	vm_relay_options_t options;
	peer_set_t *peers;
	struct relay_calls calls;
	GHashTable *calls_by_seq;
	uint64_t next_seq;
	uint64_t input_delay_us; /* see vm_relay_input_delay_us() */
	GHashTable *edge_nodes;	 /* data centre -> GArray of rendezvous_node_t: the edge processes
				    that are up */
	metrics_counter_t *direct_requests;
	metrics_counter_t *refused_requests;
	bool edge_nodes_valid; /* false after a peer has come up or gone down */
};

/* --- leader --- */

static void add_edge_node(vm_relay_t *relay, const char *data_centre, uint32_t node_id)
{
	rendezvous_node_t node = {.node_id = node_id, .data_centre = ""};
	GArray *nodes = g_hash_table_lookup(relay->edge_nodes, data_centre);

	if (nodes == NULL) {
		nodes = g_array_new(FALSE, FALSE, sizeof(rendezvous_node_t));
		g_hash_table_insert(relay->edge_nodes, g_strdup(data_centre), nodes);
	}
	g_array_append_val(nodes, node);
}

static void index_edge_nodes(vm_relay_t *relay)
{
	g_hash_table_remove_all(relay->edge_nodes);
	for (size_t i = 0; i < peer_count(relay->peers); i++) {
		const peer_info_t *info = peer_info_at(relay->peers, i);

		if (!info->up || info->has_disk)
			continue;
		add_edge_node(relay, info->data_centre, info->node_id);
		add_edge_node(relay, ANY_DATA_CENTRE, info->node_id);
	}
	relay->edge_nodes_valid = true;
}

void vm_relay_peers_changed(vm_relay_t *relay)
{
	relay->edge_nodes_valid = false;
}

/* Chooses edge processes in the VM's data centre by rendezvous hashing, so that requests to one VM
 * reuse the same connections. If there are none, chooses them anywhere: the HTTP requests to
 * hundreds of VMs would overload the leader just when it or a data centre is in trouble.
 * @param chosen receives the node ids in order of preference
 * @return their number; 0: there is no edge process, or the fleet has at most DIRECT_VMS_MAX VMs */
static size_t choose_edge_nodes(vm_relay_t *relay, const char *vm, uint32_t chosen[EDGES_TRIED_MAX])
{
	const char *data_centre = relay->options.data_centre(relay->options.arg, vm);
	const GArray *nodes = NULL;

	if (relay->peers == NULL || relay->options.vm_count(relay->options.arg) <= DIRECT_VMS_MAX)
		return 0;
	if (!relay->edge_nodes_valid)
		index_edge_nodes(relay);
	if (data_centre != NULL)
		nodes = g_hash_table_lookup(relay->edge_nodes, data_centre);
	if (nodes == NULL)
		nodes = g_hash_table_lookup(relay->edge_nodes, ANY_DATA_CENTRE);
	if (nodes == NULL)
		return 0;
	return rendezvous_pick((const rendezvous_node_t *)nodes->data, nodes->len, vm, NULL,
			       EDGES_TRIED_MAX, chosen);
}

static void add_call(vm_relay_t *relay, const relay_call_t *call)
{
	relay_call_t *added = g_memdup2(call, sizeof(*call));

	TAILQ_INSERT_TAIL(&relay->calls, added, link);
	g_hash_table_insert(relay->calls_by_seq, &added->seq, added);
}

static void complete_call(vm_relay_t *relay, relay_call_t *call, const vm_reply_t *reply)
{
	TAILQ_REMOVE(&relay->calls, call, link);
	g_hash_table_remove(relay->calls_by_seq, &call->seq);
	call->done(call->arg, reply);
	g_free(call);
}

static void give_up_call(vm_relay_t *relay, relay_call_t *call)
{
	const vm_reply_t reply = {.code = call->code};

	complete_call(relay, call, &reply);
}

/* Sends the request to the first of the chosen edge processes whose queue takes it.
 * @param valid_us time after now_us until which the edge process may send the request
 * @return node id of the edge process; 0: none takes the request */
static uint32_t send_to_edge(vm_relay_t *relay, const vm_ref_t *vm, Lp__VmOrder *order,
			     uint64_t now_us, uint64_t valid_us)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	uint32_t chosen[EDGES_TRIED_MAX];
	size_t count = choose_edge_nodes(relay, vm->id, chosen);

	envelope.body_case = LP__ENVELOPE__BODY_VM_ORDER;
	envelope.vm_order = order;
	for (size_t i = 0; i < count; i++) {
		uint64_t edge_us = peer_clock_reading_us(relay->peers, chosen[i], now_us);

		order->expires_us = edge_us != 0 ? edge_us + valid_us : 0;
		if (peer_send(relay->peers, chosen[i], &envelope) == 0)
			return chosen[i];
	}
	return 0;
}

/* Forwards a request to an edge process. @return false when this failed; the caller then sends the
 * request to the VM directly */
static bool forward_request(vm_relay_t *relay, const vm_ref_t *vm, Lp__VmOrder *order,
			    uint32_t timeout_ms, vm_reply_fn done, void *arg)
{
	uint64_t now_us = clock_now_us();
	uint64_t timeout_us = timeout_ms * US_PER_MS;
	/* The estimate of the edge process's clock lags by as long as its readings waited here. */
	uint64_t valid_us = timeout_us + relay->input_delay_us;
	uint32_t edge_node;
	relay_call_t call;

	order->seq = ++relay->next_seq;
	order->address = (char *)vm->address;
	order->vm = (char *)vm->id;
	edge_node = send_to_edge(relay, vm, order, now_us, valid_us);
	if (edge_node == 0) {
		metrics_add(relay->direct_requests, 1);
		return false;
	}
	call = (relay_call_t){
		.seq = order->seq,
		.edge_node = edge_node,
		.sent_us = now_us,
		.deadline_us = now_us + timeout_us,
		.expires_us = now_us + valid_us,
		.code = VM_REPLY_NO_RESPONSE,
		.done = done,
		.arg = arg,
	};
	add_call(relay, &call);
	return true;
}

/* Refuses a request that was decided on before this process was possibly replaced as the leader.
 * The result comes with the next check of the timeouts. @return whether the request was refused */
static bool refuse_if_replaced(vm_relay_t *relay, vm_reply_fn done, void *arg)
{
	relay_call_t call;

	if (relay->options.is_leader(relay->options.arg))
		return false;
	metrics_add(relay->refused_requests, 1);
	call = (relay_call_t){
		.seq = ++relay->next_seq,
		.overdue = true,
		.code = VM_REPLY_NOT_SENT,
		.done = done,
		.arg = arg,
	};
	add_call(relay, &call);
	return true;
}

static void set_task_run(Lp__VmOrder *order, const task_id_t *task, uint32_t run, uint64_t fence)
{
	order->job = (char *)task->job;
	order->occurrence = task->occurrence;
	order->step = task->step;
	order->index = task->index;
	order->run = run;
	order->fence = fence;
}

static void relay_start(void *arg, const vm_ref_t *vm, const vm_start_t *start, vm_reply_fn done,
			void *done_arg)
{
	vm_relay_t *relay = arg;
	Lp__VmOrder order = LP__VM_ORDER__INIT;

	if (refuse_if_replaced(relay, done, done_arg))
		return;
	set_task_run(&order, &start->task, start->run, start->fence);
	order.kind = LP__VM_ORDER_KIND__VM_ORDER_START;
	order.lease_until_ms = start->lease_until_ms;
	order.spec = (char *)start->spec;
	if (start->checkpoint != NULL)
		order.checkpoint = (char *)start->checkpoint;
	if (start->ticket != NULL)
		order.ticket = (char *)start->ticket;
	if (!forward_request(relay, vm, &order, START_TIMEOUT_MS, done, done_arg))
		relay->options.direct.start(relay->options.direct.arg, vm, start, done, done_arg);
}

static void relay_stop(void *arg, const vm_ref_t *vm, const vm_stop_t *stop, vm_reply_fn done,
		       void *done_arg)
{
	vm_relay_t *relay = arg;
	Lp__VmOrder order = LP__VM_ORDER__INIT;

	set_task_run(&order, &stop->task, stop->run, stop->fence);
	order.kind = LP__VM_ORDER_KIND__VM_ORDER_STOP;
	if (!forward_request(relay, vm, &order, relay->options.stop_ms + STOP_MARGIN_MS, done,
			     done_arg))
		relay->options.direct.stop(relay->options.direct.arg, vm, stop, done, done_arg);
}

static void relay_pace(void *arg, const vm_ref_t *vm, const vm_pace_t *pace, vm_reply_fn done,
		       void *done_arg)
{
	vm_relay_t *relay = arg;
	Lp__VmOrder order = LP__VM_ORDER__INIT;

	set_task_run(&order, &pace->task, pace->run, pace->fence);
	order.kind = LP__VM_ORDER_KIND__VM_ORDER_PACE;
	order.percent = pace->percent;
	if (!forward_request(relay, vm, &order, VM_TIMEOUT_MS, done, done_arg))
		relay->options.direct.pace(relay->options.direct.arg, vm, pace, done, done_arg);
}

static void relay_hold(void *arg, const vm_ref_t *vm, const vm_hold_t *hold, vm_reply_fn done,
		       void *done_arg)
{
	vm_relay_t *relay = arg;
	Lp__VmOrder order = LP__VM_ORDER__INIT;

	order.kind = LP__VM_ORDER_KIND__VM_ORDER_HOLD;
	order.fence = hold->fence;
	order.lease_until_ms = hold->lease_until_ms;
	order.noted = hold->acknowledged;
	order.wait_ms = hold->wait_ms;
	if (!forward_request(relay, vm, &order, hold->wait_ms + HOLD_MARGIN_MS, done, done_arg))
		relay->options.direct.hold(relay->options.direct.arg, vm, hold, done, done_arg);
}

static size_t relay_advisers(void *arg, uint32_t *nodes, size_t max)
{
	return policy_relay_advisers(((vm_relay_t *)arg)->options.policy, nodes, max);
}

static void relay_advise(void *arg, const advice_request_t *request, advice_done_fn done,
			 void *done_arg)
{
	policy_relay_advise(((vm_relay_t *)arg)->options.policy, request, done, done_arg);
}

static void relay_machines(void *arg, const char *page, machine_list_fn done, void *done_arg)
{
	const vm_port_t *direct = &((vm_relay_t *)arg)->options.direct;

	direct->machines(direct->arg, page, done, done_arg);
}

static void relay_platform_request(void *arg, const platform_request_t *request, vm_reply_fn done,
				   void *done_arg)
{
	vm_relay_t *relay = arg;
	const vm_port_t *direct = &relay->options.direct;

	if (!refuse_if_replaced(relay, done, done_arg))
		direct->order(direct->arg, request, done, done_arg);
}

vm_port_t vm_relay_port(vm_relay_t *relay)
{
	return (vm_port_t){
		.start = relay_start,
		.stop = relay_stop,
		.pace = relay_pace,
		.hold = relay_hold,
		.advisers = relay_advisers,
		.advise = relay_advise,
		.machines = relay_machines,
		.order = relay_platform_request,
		.arg = relay,
	};
}

static void decode_run_lists(void *mem, const Lp__VmResult *result, vm_reply_t *reply)
{
	vm_run_status_t *running = talloc_zero_array(mem, vm_run_status_t, result->n_running + 1);
	vm_finished_run_t *finished =
		talloc_zero_array(mem, vm_finished_run_t, result->n_ended + 1);

	for (size_t i = 0; i < result->n_running; i++) {
		const Lp__VmRunning *from = result->running[i];

		g_strlcpy(running[i].task.job, from->job, VM_NAME_MAX);
		running[i].task.occurrence = from->occurrence;
		running[i].task.step = from->step;
		running[i].task.index = from->index;
		running[i].run = from->run;
		running[i].percent = from->percent;
		running[i].load = from->load;
		g_strlcpy(running[i].checkpoint, from->checkpoint, VM_NAME_MAX);
	}
	for (size_t i = 0; i < result->n_ended; i++) {
		const Lp__VmEnded *from = result->ended[i];

		finished[i].number = from->number;
		g_strlcpy(finished[i].task.job, from->job, VM_NAME_MAX);
		finished[i].task.occurrence = from->occurrence;
		finished[i].task.step = from->step;
		finished[i].task.index = from->index;
		finished[i].run = from->run;
		finished[i].kind = from->kind;
		g_strlcpy(finished[i].checkpoint, from->checkpoint, VM_NAME_MAX);
	}
	reply->running = running;
	reply->running_count = result->n_running;
	reply->finished = finished;
	reply->finished_count = result->n_ended;
	reply->partial = result->partial;
}

/* Measures how long the result waited before this process read it: the time since the request was
 * sent, less the time that the edge process took. A longer delay counts at once, a shorter one by
 * and by. */
static void measure_input_delay(vm_relay_t *relay, const relay_call_t *call,
				const Lp__VmResult *result)
{
	uint64_t total_us = clock_now_us() - call->sent_us;
	uint64_t delay_us;

	if (result->elapsed_us == 0)
		return;
	delay_us = total_us > result->elapsed_us ? total_us - result->elapsed_us : 0;
	delay_us = MIN(delay_us, INPUT_DELAY_MAX_US);
	if (delay_us > relay->input_delay_us)
		relay->input_delay_us = delay_us;
	else
		relay->input_delay_us -= (relay->input_delay_us - delay_us) / INPUT_DELAY_DECAY;
}

uint64_t vm_relay_input_delay_us(const vm_relay_t *relay)
{
	return relay->input_delay_us;
}

void vm_relay_handle_result(vm_relay_t *relay, uint32_t from, const Lp__VmResult *result)
{
	relay_call_t *call = g_hash_table_lookup(relay->calls_by_seq, &result->seq);
	vm_reply_t reply = {.clock_ms = result->clock_ms,
			    .born_ms = result->born_ms,
			    .elapsed_us = result->elapsed_us};
	void *mem;

	/* The request has already timed out, or an earlier process on this machine made it. */
	if (call == NULL || call->edge_node != from || result->code > VM_REPLY_NO_RESPONSE)
		return;
	measure_input_delay(relay, call, result);
	mem = talloc_new(NULL);
	reply.code = (vm_reply_code_t)result->code;
	decode_run_lists(mem, result, &reply);
	complete_call(relay, call, &reply);
	talloc_free(mem);
}

/* Fails the calls that have timed out, but none that the edge process may still carry out: when it
 * wakes from a pause, or its connection recovers, it reads requests that were sent long before. A
 * result that has arrived may still wait to be read, so a call fails only if the deadline has
 * passed by the time that results presently wait, and at two checks in a row, between which this
 * process has read messages. Otherwise the requests of a leader that is behind would fail and be
 * repeated, which makes it fall further behind. */
static void check_timeouts(void *arg, uint64_t now_us)
{
	vm_relay_t *relay = arg;
	relay_call_t *call;
	relay_call_t *next;

	if (TAILQ_EMPTY(&relay->calls))
		relay->input_delay_us = 0;
	for (call = TAILQ_FIRST(&relay->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (now_us < MAX(call->deadline_us + relay->input_delay_us, call->expires_us))
			continue;
		if (call->overdue)
			give_up_call(relay, call);
		else
			call->overdue = true;
	}
}

vm_relay_t *vm_relay_create(timer_service_t *timers, const vm_relay_options_t *options)
{
	vm_relay_t *relay = g_new0(vm_relay_t, 1);

	relay->timers = timers;
	relay->options = *options;
	TAILQ_INIT(&relay->calls);
	relay->calls_by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
	relay->edge_nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						  (GDestroyNotify)g_array_unref);
	relay->direct_requests =
		metrics_counter(options->metrics, "batch_direct_requests_total", "");
	relay->refused_requests =
		metrics_counter(options->metrics, "batch_requests_after_lease_total", "");
	/* Request numbers start at a random value, so that a late result of a request that an
	 * earlier process on this machine made does not match a request of this process. */
	relay->next_seq = (uint64_t)g_random_int() << 32;
	timer_subscribe(timers, &relay->timeout_check, TIMEOUT_CHECK_MS * US_PER_MS, check_timeouts,
			relay);
	return relay;
}

void vm_relay_set_peers(vm_relay_t *relay, peer_set_t *peers)
{
	relay->peers = peers;
}

void vm_relay_destroy(vm_relay_t *relay)
{
	relay_call_t *call;
	relay_call_t *next;

	timer_unsubscribe(relay->timers, &relay->timeout_check);
	for (call = TAILQ_FIRST(&relay->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		give_up_call(relay, call);
	}
	g_hash_table_destroy(relay->calls_by_seq);
	g_hash_table_destroy(relay->edge_nodes);
	g_free(relay);
}

/* --- edge process --- */

typedef struct {
	vm_agent_t *agent;
	uint32_t from;
	uint64_t seq;
	uint64_t received_us;
} forwarded_request_t;

static void encode_running_runs(void *mem, const vm_reply_t *reply, Lp__VmResult *result)
{
	result->running = talloc_array(mem, Lp__VmRunning *, reply->running_count + 1);
	for (size_t i = 0; i < reply->running_count; i++) {
		const vm_run_status_t *from = &reply->running[i];
		Lp__VmRunning *out = talloc(mem, Lp__VmRunning);

		lp__vm_running__init(out);
		out->job = (char *)from->task.job;
		out->occurrence = from->task.occurrence;
		out->step = from->task.step;
		out->index = from->task.index;
		out->run = from->run;
		out->checkpoint = (char *)from->checkpoint;
		out->percent = from->percent;
		out->load = from->load;
		result->running[result->n_running++] = out;
	}
}

static void encode_finished_runs(void *mem, const vm_reply_t *reply, Lp__VmResult *result)
{
	result->partial = reply->partial;
	result->ended = talloc_array(mem, Lp__VmEnded *, reply->finished_count + 1);
	for (size_t i = 0; i < reply->finished_count; i++) {
		const vm_finished_run_t *from = &reply->finished[i];
		Lp__VmEnded *out = talloc(mem, Lp__VmEnded);

		lp__vm_ended__init(out);
		out->number = from->number;
		out->job = (char *)from->task.job;
		out->occurrence = from->task.occurrence;
		out->step = from->task.step;
		out->index = from->task.index;
		out->run = from->run;
		out->kind = from->kind;
		out->checkpoint = (char *)from->checkpoint;
		result->ended[result->n_ended++] = out;
	}
}

static void send_result(const forwarded_request_t *call, const vm_reply_t *reply)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__VmResult result = LP__VM_RESULT__INIT;
	void *mem = talloc_new(NULL);

	result.seq = call->seq;
	result.code = reply->code;
	result.clock_ms = reply->clock_ms;
	result.born_ms = reply->born_ms;
	result.elapsed_us = (uint32_t)MAX(clock_now_us() - call->received_us, 1);
	encode_running_runs(mem, reply, &result);
	encode_finished_runs(mem, reply, &result);
	envelope.body_case = LP__ENVELOPE__BODY_VM_RESULT;
	envelope.vm_result = &result;
	if (peer_send(call->agent->peers, call->from, &envelope) != 0)
		g_message("cannot send a VM's response to the leader");
	talloc_free(mem);
}

static void on_vm_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree forwarded_request_t *call = arg;

	send_result(call, reply);
}

static task_id_t task_id_of(const Lp__VmOrder *order)
{
	task_id_t task = {
		.occurrence = order->occurrence, .step = order->step, .index = order->index};

	g_strlcpy(task.job, order->job, sizeof(task.job));
	return task;
}

static void send_start(vm_agent_t *agent, const vm_ref_t *vm, const Lp__VmOrder *order,
		       forwarded_request_t *call)
{
	const vm_start_t start = {
		.task = task_id_of(order),
		.run = order->run,
		.spec = order->spec,
		.lease_until_ms = order->lease_until_ms,
		.fence = order->fence,
		.checkpoint = order->checkpoint[0] != '\0' ? order->checkpoint : NULL,
		.ticket = order->ticket[0] != '\0' ? order->ticket : NULL,
	};

	agent->port.start(agent->port.arg, vm, &start, on_vm_reply, call);
}

static void log_expired(const Lp__VmOrder *order, uint64_t late_ms)
{
	char run[16];
	char ms[24];

	g_snprintf(run, sizeof(run), "%u", order->run);
	g_snprintf(ms, sizeof(ms), "%" PRIu64, late_ms);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", order->job, "run", run, "vm", order->vm, "late_ms", ms),
		  "dropping an expired VM request");
}

/* Answers a request that the leader may have given up, without sending it. */
static void drop_expired(vm_agent_t *agent, const Lp__VmOrder *order,
			 const forwarded_request_t *call)
{
	const vm_reply_t not_sent = {.code = VM_REPLY_NOT_SENT};

	metrics_add(agent->expired, 1);
	log_expired(order, (call->received_us - order->expires_us) / US_PER_MS);
	send_result(call, &not_sent);
}

void vm_agent_init(vm_agent_t *agent, const vm_port_t *port, peer_set_t *peers, metrics_t *metrics)
{
	*agent = (vm_agent_t){
		.port = *port,
		.peers = peers,
		.expired = metrics_counter(metrics, "edge_expired_vm_requests_total", ""),
	};
}

void vm_agent_handle_request(vm_agent_t *agent, uint32_t from, const Lp__VmOrder *order)
{
	const vm_ref_t vm = {
		.address = order->address, .id = order->vm, .expires_us = order->expires_us};
	const vm_stop_t stop = {
		.task = task_id_of(order), .run = order->run, .fence = order->fence};
	const vm_pace_t pace = {.task = task_id_of(order),
				.run = order->run,
				.percent = order->percent,
				.fence = order->fence};
	const vm_hold_t hold = {.fence = order->fence,
				.lease_until_ms = order->lease_until_ms,
				.acknowledged = order->noted,
				.wait_ms = order->wait_ms};
	const forwarded_request_t received = {
		.agent = agent, .from = from, .seq = order->seq, .received_us = clock_now_us()};
	forwarded_request_t *call;

	if (order->expires_us != 0 && received.received_us >= order->expires_us) {
		drop_expired(agent, order, &received);
		return;
	}
	call = g_memdup2(&received, sizeof(received));
	switch (order->kind) {
	case LP__VM_ORDER_KIND__VM_ORDER_START:
		send_start(agent, &vm, order, call);
		return;
	case LP__VM_ORDER_KIND__VM_ORDER_STOP:
		agent->port.stop(agent->port.arg, &vm, &stop, on_vm_reply, call);
		return;
	case LP__VM_ORDER_KIND__VM_ORDER_PACE:
		agent->port.pace(agent->port.arg, &vm, &pace, on_vm_reply, call);
		return;
	case LP__VM_ORDER_KIND__VM_ORDER_HOLD:
		agent->port.hold(agent->port.arg, &vm, &hold, on_vm_reply, call);
		return;
	case _LP__VM_ORDER_KIND_IS_INT_SIZE:
		break;
	}
	g_warning("dropping a VM request of unknown kind");
	g_free(call);
}
