#define G_LOG_DOMAIN "policy"

#include "policy_calls.h"

#include <string.h>

#include <glib.h>

#include "advice_size.h"
#include "clock.h"
#include "log.h"

/* Most processes that call the service for the leader. */
#define HELPERS_MAX 64
#define HELPERS_READ_US (100 * US_PER_MS)
/* Attempts after which a call is given up. The part that made it then asks anew, behind others. */
#define ATTEMPTS_MAX 3
/* Time that a ticket needs from the answer to the start, in addition to twice the time of the links
 * to the process that has asked for it. */
#define START_MARGIN_US (50 * US_PER_MS)
/* Time of these links before any answer, and the weight of one answer in its falling average. */
#define LINK_TIME_START_US (100 * US_PER_MS)
#define LINK_TIME_DECAY 8
/* Number of VMs asked about after which the older answers of a queue's policy count half. */
#define SHARE_WINDOW 64

typedef struct policy_call_group {
	unsigned calls; /* number of the group's calls that wait or are under way */
	bool settled;	/* the user knows the answer, or that there is none */
	policy_call_t *waiting;
} policy_call_group_t;

static void on_reply(void *arg, const advice_reply_t *reply);

static uint64_t now_us(const policy_calls_t *calls)
{
	return calls->user.now_us(calls->user.arg);
}

static policy_queue_t *get_queue(policy_calls_t *calls, const Lp__BatchQueue *queue)
{
	g_autofree char *key = g_strdup_printf("%s %s", queue->host, queue->prefix);
	policy_queue_t *found = g_hash_table_lookup(calls->queues, key);

	if (found == NULL) {
		found = g_new0(policy_queue_t, 1);
		g_hash_table_insert(calls->queues, g_steal_pointer(&key), found);
	}
	return found;
}

static void free_call(policy_call_t *call)
{
	if (call->group->waiting == call)
		call->group->waiting = NULL;
	if (--call->group->calls == 0)
		g_free(call->group);
	g_free(call);
}

/* Tells the user the result, once for all calls of the group. */
static void settle(policy_call_t *call, const advice_reply_t *reply)
{
	policy_calls_t *calls = call->owner;
	policy_call_t *waiting = call->group->waiting;

	if (call->group->settled)
		return;
	call->group->settled = true;
	if (waiting != NULL && waiting != call) {
		serial_queue_remove(&calls->share.queue, &waiting->shared.call);
		free_call(waiting);
	}
	calls->user.done(calls->user.arg, call, reply);
}

static void read_helpers(policy_calls_t *calls, uint64_t time_us)
{
	uint32_t nodes[HELPERS_MAX];

	if (time_us < calls->helpers_read_us + HELPERS_READ_US)
		return;
	calls->helpers_read_us = time_us;
	serial_share_set_helpers(&calls->share, nodes,
				 calls->port->advisers(calls->port->arg, nodes, HELPERS_MAX));
}

/* Gives up the calls that have become pointless before the next one. */
static void drop_pointless(policy_calls_t *calls, uint64_t time_us)
{
	static const advice_reply_t reply = {.code = ADVICE_NOT_SENT};
	shared_call_t *first;

	while ((first = serial_share_first(&calls->share, time_us)) != NULL) {
		policy_call_t *call = (policy_call_t *)first;

		if (calls->user.is_wanted(calls->user.arg, call))
			return;
		serial_queue_remove(&calls->share.queue, &first->call);
		settle(call, &reply);
		free_call(call);
	}
}

static void send_call(policy_calls_t *calls, policy_call_t *call)
{
	g_autofree const char **vms = g_new(const char *, call->vm_count);
	advice_request_t request = {.node = call->shared.node,
				    .step = call->step,
				    .vms = vms,
				    .vm_count = call->vm_count,
				    .timeout_ms = call->shared.limit_us / US_PER_MS};

	for (size_t i = 0; i < call->vm_count; i++)
		vms[i] = call->vms[i];
	call->group->waiting = NULL;
	calls->port->advise(calls->port->arg, &request, on_reply, call);
}

static uint64_t work_us(const policy_call_t *call)
{
	return call->decide_us + call->per_vm_us * call->vm_count;
}

/* @return expected share of the VMs that the queue's policy allows and that are still there then,
 * above 0 */
static double usable_share(const policy_queue_t *queue)
{
	return (queue->usable + 1) / (queue->asked + 2);
}

/* Leaves out VMs that have ended, or take no tasks any more, while the call waited. */
static void drop_unusable_vms(policy_calls_t *calls, policy_call_t *call)
{
	size_t kept = 0;

	for (size_t i = 0; i < call->vm_count; i++) {
		if (!calls->user.is_usable(calls->user.arg, call->vms[i]))
			continue;
		memmove(call->vms[kept++], call->vms[i], sizeof(call->vms[0]));
	}
	/* Without any VM left, the answer lets the step ask about others. */
	call->vm_count = MAX(kept, 1);
}

/* Leaves out VMs of the call that is next, if others wait behind it or will soon. */
static void shorten_next(policy_calls_t *calls, uint64_t time_us)
{
	policy_call_t *call = (policy_call_t *)serial_share_first(&calls->share, time_us);
	advice_size_input_t input;

	if (call == NULL || call->is_renewal)
		return;
	drop_unusable_vms(calls, call);
	call->shared.call.work_us = work_us(call);
	if (TAILQ_NEXT(&call->shared.call, link) == NULL &&
	    serial_share_is_idle(&calls->share, time_us))
		return;
	input = (advice_size_input_t){.decide_us = call->decide_us,
				      .per_vm_us = call->per_vm_us,
				      .allowed_share = usable_share(call->queue),
				      .needed = call->needed,
				      .most = call->vm_count};
	call->vm_count = advice_size(&input);
	call->shared.call.work_us = work_us(call);
}

static void send_waiting(policy_calls_t *calls)
{
	uint64_t time_us = now_us(calls);
	shared_call_t *next;

	/* A call that is given up lets its user make others. */
	if (calls->sending)
		return;
	calls->sending = true;
	read_helpers(calls, time_us);
	for (;;) {
		drop_pointless(calls, time_us);
		shorten_next(calls, time_us);
		next = serial_share_next(&calls->share, time_us);
		if (next == NULL)
			break;
		send_call(calls, (policy_call_t *)next);
	}
	calls->sending = false;
	metrics_set(calls->window, calls->share.window);
}

static size_t call_size(size_t vm_count)
{
	return sizeof(policy_call_t) + vm_count * VM_NAME_MAX;
}

/* Asks a second process what the first one, which may be frozen or cut off, has not answered. */
static void replace(policy_calls_t *calls, policy_call_t *call)
{
	policy_call_t *copy;
	char node[16];

	call->late = true;
	metrics_add(calls->replaced, 1);
	g_snprintf(node, sizeof(node), "%u", call->shared.node);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("peer", node, "request", call->step.job),
		  "process does not answer for the policy service; asking another one");
	if (call->group->settled || call->group->waiting != NULL ||
	    !calls->user.is_wanted(calls->user.arg, call))
		return;
	copy = g_memdup2(call, call_size(call->vm_count));
	copy->attempts++;
	copy->late = false;
	copy->shared.repeated = true;
	copy->group->calls++;
	copy->group->waiting = copy;
	serial_queue_return(&calls->share.queue, &copy->shared.call);
}

void policy_calls_tick(policy_calls_t *calls)
{
	uint64_t time_us = now_us(calls);
	shared_call_t *late;

	while ((late = serial_share_late(&calls->share, time_us)) != NULL)
		replace(calls, (policy_call_t *)late);
	if (!TAILQ_EMPTY(&calls->share.queue.waiting))
		send_waiting(calls);
	metrics_set(calls->waiting, serial_queue_length(&calls->share.queue));
}

/* @return whether a call that was not answered waits for another attempt */
static bool try_again(policy_calls_t *calls, policy_call_t *call, const advice_reply_t *reply)
{
	/* A process that is busy with calls of an earlier leader has tried nothing. */
	if (reply->code != ADVICE_BUSY || call->shared.node == 0)
		call->attempts++;
	if (call->attempts >= ATTEMPTS_MAX || call->group->settled || call->late ||
	    !calls->user.is_wanted(calls->user.arg, call))
		return false;
	metrics_add(calls->repeated, 1);
	call->group->waiting = call;
	call->shared.repeated = reply->code == ADVICE_NO_RESPONSE;
	serial_queue_return(&calls->share.queue, &call->shared.call);
	return true;
}

static serial_result_t result_of(advice_code_t code)
{
	switch (code) {
	case ADVICE_ANSWERED:
		return SERIAL_ANSWERED;
	case ADVICE_BUSY:
		return SERIAL_REFUSED;
	case ADVICE_NOT_SENT:
		return SERIAL_NOT_SENT;
	case ADVICE_NO_RESPONSE:
		break;
	}
	return SERIAL_NO_ANSWER;
}

/* A longer time counts at once, a shorter one by and by. */
static void learn_link_time(policy_calls_t *calls, uint64_t time_us)
{
	if (time_us > calls->link_time_us)
		calls->link_time_us = time_us;
	else
		calls->link_time_us -= (calls->link_time_us - time_us) / LINK_TIME_DECAY;
}

static void learn_share(policy_call_t *call, const advice_reply_t *reply)
{
	const policy_calls_t *calls = call->owner;
	policy_queue_t *queue = call->queue;

	if (queue->asked > SHARE_WINDOW) {
		queue->asked /= 2;
		queue->usable /= 2;
	}
	queue->asked += (double)call->vm_count;
	for (size_t i = 0; i < reply->ticket_count; i++)
		queue->usable += calls->user.is_usable(calls->user.arg, reply->tickets[i].vm);
	queue->usable = MIN(queue->usable, queue->asked);
}

static void on_reply(void *arg, const advice_reply_t *reply)
{
	policy_call_t *call = arg;
	policy_calls_t *calls = call->owner;
	advice_reply_t used = *reply;
	uint64_t time_us;

	if (call->generation != calls->generation) {
		free_call(call);
		return;
	}
	time_us = now_us(calls);
	if (!call->late) {
		serial_share_ended(&calls->share, &call->shared, result_of(reply->code),
				   reply->elapsed_us, time_us);
		if (reply->code == ADVICE_ANSWERED && call->shared.node != 0)
			learn_link_time(calls, reply->age_us);
	} else if (reply->code == ADVICE_ANSWERED) {
		serial_share_late_answer(&calls->share, &call->shared, reply->elapsed_us);
		/* When the service has answered is unknown: the process was possibly frozen
		 * afterwards. */
		used.age_us =
			time_us - MIN(time_us, call->shared.sent_us + call->shared.call.work_us);
	}
	if (reply->code == ADVICE_ANSWERED)
		learn_share(call, reply);
	/* Runs wait for valid tickets; for steps, it is enough to know what is allowed. */
	if (used.code == ADVICE_ANSWERED && call->is_renewal && used.age_us >= call->valid_us)
		used.code = ADVICE_NO_RESPONSE;
	if (used.code == ADVICE_ANSWERED) {
		settle(call, &used);
	} else if (try_again(calls, call, &used)) {
		call = NULL;
	} else if (call->group->calls == 1) {
		settle(call, &used);
	}
	if (call != NULL)
		free_call(call);
	send_waiting(calls);
}

uint64_t policy_calls_next_id(const policy_calls_t *calls)
{
	return calls->last_id + 1;
}

void policy_calls_add(policy_calls_t *calls, const policy_question_t *question)
{
	const Lp__BatchAdvice *advice = question->queue->advice;
	policy_call_t *call = g_malloc0(call_size(question->vm_count));

	call->owner = calls;
	call->generation = calls->generation;
	call->vm_count = question->vm_count;
	call->group = g_new0(policy_call_group_t, 1);
	call->group->calls = 1;
	call->group->waiting = call;
	call->id = ++calls->last_id;
	call->step = question->step;
	call->first_task = question->first_task;
	call->queue = get_queue(calls, question->queue);
	call->decide_us = advice->decide_ms * US_PER_MS;
	call->per_vm_us = advice->per_vm_ms * US_PER_MS;
	call->needed = question->needed;
	call->is_renewal = question->is_renewal;
	/* A ticket that is valid for no time can only be tried at once. */
	call->valid_us = MAX(advice->valid_ms, 1) * US_PER_MS;
	call->shared.own_only =
		call->is_renewal && call->valid_us < 2 * calls->link_time_us + START_MARGIN_US;
	for (size_t i = 0; i < question->vm_count; i++)
		g_strlcpy(call->vms[i], question->vms[i], VM_NAME_MAX);
	if (question->is_renewal)
		serial_queue_add_first(&calls->share.queue, &call->shared.call, work_us(call));
	else
		serial_queue_add(&calls->share.queue, &call->queue->source, &call->shared.call,
				 work_us(call));
	send_waiting(calls);
}

void policy_calls_init(policy_calls_t *calls, const vm_port_t *port,
		       const policy_calls_user_t *user, metrics_t *metrics)
{
	*calls = (policy_calls_t){
		.port = port,
		.user = *user,
		.queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
		.link_time_us = LINK_TIME_START_US,
		.waiting = metrics_counter(metrics, "policy_calls_waiting", ""),
		.window = metrics_counter(metrics, "policy_window", ""),
		.repeated = metrics_counter(metrics, "policy_calls_repeated_total", ""),
		.replaced = metrics_counter(metrics, "policy_calls_replaced_total", ""),
	};
	serial_share_init(&calls->share);
}

void policy_calls_reset(policy_calls_t *calls)
{
	serial_call_t *entry;

	while ((entry = serial_queue_withdraw(&calls->share.queue)) != NULL)
		free_call((policy_call_t *)entry);
	/* The calls under way are freed with their replies. */
	calls->generation++;
	calls->helpers_read_us = 0;
	calls->link_time_us = LINK_TIME_START_US;
	serial_share_finish(&calls->share);
	g_hash_table_remove_all(calls->queues);
}

void policy_calls_finish(policy_calls_t *calls)
{
	policy_calls_reset(calls);
	g_hash_table_destroy(calls->queues);
}
