#define G_LOG_DOMAIN "batch"

#include <string.h>

#include "batch_internal.h"
#include "batch_leader_internal.h"
#include "log.h"

/* A ticket that expires within this time is not used, because a used ticket must still be valid
 * when the start request arrives. Half of the validity, if that is less. */
#define TICKET_MARGIN_US (300 * US_PER_MS)
/* Delay before asking the policy service again when it did not respond or a VM has refused a
 * short-lived ticket, and between requests about few VMs once some are allowed: VMs get free one by
 * one, and each request takes the time of a decision. */
#define TICKET_RETRY_US (300 * US_PER_MS)
/* Time after which the policy service is asked again about a VM that it did not allow. Its policy
 * for a step does not change, but the VM can have started again as one of another kind. */
#define TICKET_RECHECK_US (3 * US_PER_S)
/* Delay before the VMs are looked through again when there was none to ask about. */
#define TICKET_SEARCH_US (50 * US_PER_MS)
/* Most VMs listed in one request to the policy service. Job objectives leave time for about 30
 * decisions of the service. */
#define ADVICE_VMS_MAX 30
/* The same for a gang, whose members have to start together: what the policy service takes. */
#define ADVICE_GANG_VMS_MAX 100

/* Latest answer of the policy service about a VM. */
typedef struct {
	uint64_t answered_us;
	uint64_t valid_us;	 /* validity of the ticket from the answer on */
	uint64_t valid_until_us; /* end of the validity of the ticket; 0: there is none */
	bool allowed;
	char ticket[VM_NAME_MAX]; /* "": none, or the VM has refused it */
} advice_t;

struct batch_ticket_cache {
	uint64_t request_generation; /* leader generation of the request under way; 0: none */
	uint64_t request_id;	     /* its id, see policy_calls_next_id() */
	bool any_allowed;	     /* the service has allowed a VM */
	uint64_t retry_us;	     /* earliest time of the next request */
	uint64_t few_due_us; /* earliest time of a request about few VMs once one is allowed */
	GHashTable *vms;     /* VM id -> advice_t */
};

/* Order in which VMs are asked about. */
typedef enum {
	ASK_ALLOWED, /* the VM was allowed, and has refused the ticket */
	ASK_FIRST,   /* the policy service was never asked about it */
	ASK_AGAIN,   /* it was not allowed TICKET_RECHECK_US ago or earlier */
	ASK_NOT,     /* it was not allowed since then */
} ask_rank_t;

bool ticket_needed(const Lp__BatchQueue *queue)
{
	return queue != NULL && queue->advice != NULL;
}

static const advice_t *find_advice(const batch_step_t *step, const char *vm)
{
	return step->tickets != NULL ? g_hash_table_lookup(step->tickets->vms, vm) : NULL;
}

static bool has_valid_ticket(const batch_step_t *step, const char *vm, uint64_t now_us)
{
	const advice_t *advice = find_advice(step, vm);

	return advice != NULL &&
	       now_us + MIN(TICKET_MARGIN_US, advice->valid_us / 2) < advice->valid_until_us;
}

const char *ticket_latest(const batch_step_t *step, const char *vm)
{
	const advice_t *advice = find_advice(step, vm);

	return advice != NULL && advice->ticket[0] != '\0' ? advice->ticket : NULL;
}

bool ticket_allows(const batch_step_t *step, const char *vm)
{
	return ticket_latest(step, vm) != NULL;
}

bool ticket_allows_any(const batch_step_t *step)
{
	return step->tickets != NULL && step->tickets->any_allowed;
}

void ticket_remove(batch_step_t *step, const char *vm, uint64_t now_us)
{
	batch_ticket_cache_t *cache = step->tickets;
	advice_t *advice = cache != NULL ? g_hash_table_lookup(cache->vms, vm) : NULL;

	if (advice == NULL)
		return;
	/* The ticket was possibly valid for less time than the start request takes. */
	if (advice->valid_us < TICKET_MARGIN_US)
		cache->retry_us = now_us + TICKET_RETRY_US;
	advice->valid_until_us = 0;
	advice->ticket[0] = '\0';
}

bool ticket_may_request(const batch_leader_t *leader, const batch_step_t *step, uint64_t now_us)
{
	const batch_ticket_cache_t *cache = step->tickets;

	/* The answer to a request of an earlier generation is ignored. */
	return cache == NULL ||
	       (cache->request_generation != leader->generation && now_us >= cache->retry_us);
}

void ticket_cache_free(batch_ticket_cache_t *cache)
{
	if (cache == NULL)
		return;
	g_hash_table_destroy(cache->vms);
	g_free(cache);
}

/* Notes for each VM that the request listed whether the policy service allows it. */
static void store_advice(batch_ticket_cache_t *cache, const policy_call_t *call,
			 const advice_reply_t *reply, uint64_t now_us)
{
	uint64_t valid_us = call->valid_us - MIN(call->valid_us, reply->age_us);

	for (size_t i = 0; i < call->vm_count; i++) {
		advice_t *advice = g_new0(advice_t, 1);

		advice->answered_us = now_us;
		g_hash_table_replace(cache->vms, g_strdup(call->vms[i]), advice);
	}
	for (size_t i = 0; i < reply->ticket_count; i++) {
		advice_t *advice = g_hash_table_lookup(cache->vms, reply->tickets[i].vm);

		/* The service names a VM that it was never asked about. */
		if (advice == NULL)
			continue;
		advice->allowed = true;
		advice->valid_us = call->valid_us;
		advice->valid_until_us = now_us + valid_us;
		g_strlcpy(advice->ticket, reply->tickets[i].ticket, sizeof(advice->ticket));
		cache->any_allowed = true;
	}
}

static bool call_lists(const policy_call_t *call, const char *vm)
{
	for (size_t i = 0; i < call->vm_count; i++) {
		if (strcmp(call->vms[i], vm) == 0)
			return true;
	}
	return false;
}

/* Starts a run that waits for a ticket, or gives it up, after an answer of the policy service.
 * @return false when it still waits, as the request was made without its VM */
static bool settle_awaited(batch_leader_t *leader, batch_task_t *task, const policy_call_t *call,
			   bool answered, uint64_t now_us)
{
	const char *id = task->vm->id;
	leader_vm_t *vm = task->vm->leader;

	if (vm == NULL) {
		leader_refuse_run(leader, task, "the VM has ended before the start");
	} else if (batch_job_ended(task->step->job)) {
		leader_refuse_run(leader, task, "the job has ended before the start");
	} else if (!answered) {
		leader_refuse_run(leader, task, "no answer of the policy service");
	} else if (!has_valid_ticket(task->step, id, now_us)) {
		if (!call_lists(call, id))
			return false;
		leader_refuse_run(leader, task, "the policy service does not allow it any more");
	} else if (leader_may_start(vm, task)) {
		start_window_add(&leader->window);
		leader_request_start(vm, task);
	}
	return true;
}

static bool awaits_ticket(const batch_task_t *task)
{
	return task->vm != NULL && task->local.phase == RUN_AWAITS_TICKET &&
	       !task->local.loss_pending;
}

/* True when the policy service has not allowed a VM of the gang, whose members cannot start without
 * each other. */
static bool gang_was_refused(const batch_step_t *step, const policy_call_t *call, uint64_t now_us)
{
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (awaits_ticket(task) && call_lists(call, task->vm->id) &&
		    !has_valid_ticket(step, task->vm->id, now_us))
			return true;
	}
	return false;
}

static void settle_awaited_runs(batch_leader_t *leader, batch_step_t *step,
				const policy_call_t *call, bool answered, uint64_t now_us)
{
	bool refused = answered && gang_was_refused(step, call, now_us);
	bool request = false;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		batch_task_t *task = &step->tasks[i];

		if (!awaits_ticket(task))
			continue;
		if (refused)
			leader_refuse_run(leader, task,
					  "the policy service does not allow the gang");
		else
			request |= !settle_awaited(leader, task, call, answered, now_us);
	}
	if (request)
		ticket_request_awaited(leader, step);
}

static bool is_wanted(void *arg, const policy_call_t *call)
{
	const batch_leader_t *leader = arg;
	const batch_task_t *task = batch_state_task(leader->state, &call->first_task);

	return task != NULL && task->step->tickets != NULL && !batch_job_ended(task->step->job);
}

static bool is_usable(void *arg, const char *id)
{
	const batch_leader_t *leader = arg;
	const leader_vm_t *vm = g_hash_table_lookup(leader->by_id, id);

	return vm != NULL && !vm->draining && !vm->cordoned && !vm->drained_for_move;
}

static void log_unusable(const batch_step_t *step, const policy_call_t *call, bool answered)
{
	char asked[16];

	g_snprintf(asked, sizeof(asked), "%zu", call->vm_count);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", step->job->spec->id, "answered", answered ? "yes" : "no",
			     "vms", asked),
		  "policy service allowed no VM for a step");
}

static void on_advice(void *arg, const policy_call_t *call, const advice_reply_t *reply)
{
	batch_leader_t *leader = arg;
	batch_task_t *task = batch_state_task(leader->state, &call->first_task);
	bool answered = reply->code == ADVICE_ANSWERED;
	uint64_t now_us = leader_now_us(leader);
	batch_ticket_cache_t *cache;

	if (task == NULL || task->step->tickets == NULL)
		return;
	cache = task->step->tickets;
	if (cache->request_id != call->id)
		return;
	cache->request_generation = 0;
	cache->few_due_us = now_us + TICKET_RETRY_US;
	if (answered)
		store_advice(cache, call, reply, now_us);
	else
		cache->retry_us = now_us + TICKET_RETRY_US;
	settle_awaited_runs(leader, task->step, call, answered, now_us);
	if (!answered || reply->ticket_count == 0)
		log_unusable(task->step, call, answered);
	leader->placement_due = true;
}

static uint64_t calls_now_us(void *arg)
{
	return leader_now_us(arg);
}

void ticket_init(batch_leader_t *leader)
{
	const policy_calls_user_t user = {.is_wanted = is_wanted,
					  .is_usable = is_usable,
					  .done = on_advice,
					  .now_us = calls_now_us,
					  .arg = leader};

	policy_calls_init(&leader->policy_calls, &leader->port, &user, leader->metrics);
}

static ask_rank_t ask_rank(const batch_ticket_cache_t *cache, const char *vm, uint64_t now_us)
{
	const advice_t *advice = g_hash_table_lookup(cache->vms, vm);

	if (advice == NULL)
		return ASK_FIRST;
	if (advice->allowed)
		return ASK_ALLOWED;
	return now_us >= advice->answered_us + TICKET_RECHECK_US ? ASK_AGAIN : ASK_NOT;
}

/* Chooses at most ADVICE_VMS_MAX VMs to ask about, in the order of their ranks. @return their
 * number */
static size_t choose_vms(const batch_ticket_cache_t *cache, const char *const *vms, size_t count,
			 uint64_t now_us, const char *chosen[ADVICE_VMS_MAX])
{
	g_autofree ask_rank_t *ranks = g_new(ask_rank_t, count);
	size_t chosen_count = 0;

	for (size_t i = 0; i < count; i++)
		ranks[i] = ask_rank(cache, vms[i], now_us);
	for (ask_rank_t rank = ASK_ALLOWED; rank < ASK_NOT; rank++) {
		for (size_t i = 0; i < count && chosen_count < ADVICE_VMS_MAX; i++) {
			if (ranks[i] == rank)
				chosen[chosen_count++] = vms[i];
		}
	}
	return chosen_count;
}

/* @param renewal whether runs wait for the tickets */
static void add_request(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
			const char *const *vms, size_t count, size_t needed, bool renewal)
{
	policy_question_t question = {.queue = queue,
				      .vms = vms,
				      .vm_count = count,
				      .needed = needed,
				      .is_renewal = renewal};

	task_id_set(&question.step, &step->tasks[0]);
	batch_task_ref(&step->tasks[0], &question.first_task);
	/* The request can be given up before policy_calls_add() returns. */
	step->tickets->request_generation = leader->generation;
	step->tickets->request_id = policy_calls_next_id(&leader->policy_calls);
	policy_calls_add(&leader->policy_calls, &question);
}

uint64_t ticket_request(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
			const char *const *vms, size_t count, size_t needed, uint64_t now_us)
{
	batch_ticket_cache_t *cache = step->tickets;
	const char *chosen[ADVICE_VMS_MAX];

	if (count == 0)
		return 0;
	if (cache == NULL) {
		cache = g_new0(batch_ticket_cache_t, 1);
		cache->vms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		step->tickets = cache;
	}
	count = choose_vms(cache, vms, count, now_us, chosen);
	if (count == 0) {
		cache->retry_us = now_us + TICKET_SEARCH_US;
		return cache->retry_us;
	}
	if (count < ADVICE_VMS_MAX && ticket_allows_any(step) && now_us < cache->few_due_us) {
		cache->retry_us = cache->few_due_us;
		return cache->retry_us;
	}
	add_request(leader, step, queue, chosen, count, needed, false);
	return 0;
}

/* True when all members of the gang that are not started yet have valid tickets, so that they can
 * start together. */
static bool gang_has_tickets(const batch_step_t *step, uint64_t now_us)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (task->vm != NULL &&
		    (task->local.phase == RUN_INHERITED || awaits_ticket(task)) &&
		    !has_valid_ticket(step, task->vm->id, now_us))
			return false;
	}
	return true;
}

bool ticket_ready(leader_vm_t *vm, batch_task_t *task)
{
	const batch_step_t *step = task->step;
	uint64_t now_us = leader_now_us(vm->leader);

	/* Without a cache, the policy service was never asked: the queue needs no tickets. */
	if (!ticket_needed(step->job->queue) || step->tickets == NULL)
		return true;
	if (step->spec->gang ? gang_has_tickets(step, now_us)
			     : has_valid_ticket(step, vm->id, now_us))
		return true;
	task->local.phase = RUN_AWAITS_TICKET;
	task->local.phase_since_us = now_us;
	metrics_add(vm->leader->stats.tickets_awaited, 1);
	return false;
}

void ticket_request_awaited(batch_leader_t *leader, batch_step_t *step)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
	const char *vms[ADVICE_GANG_VMS_MAX];
	size_t most = step->spec->gang ? ADVICE_GANG_VMS_MAX : ADVICE_VMS_MAX;
	size_t count = 0;

	if (step->tickets->request_generation == leader->generation)
		return;
	for (uint32_t i = 0; i < step->spec->count && count < most; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (awaits_ticket(task) && g_hash_table_add(listed, task->vm->id))
			vms[count++] = task->vm->id;
	}
	if (count > 0)
		add_request(leader, step, step->job->queue, vms, count, count, true);
}
