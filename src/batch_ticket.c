#define G_LOG_DOMAIN "batch"

#include <string.h>

#include "batch_internal.h"
#include "batch_leader_internal.h"
#include "log.h"

/* A ticket that expires within this time is not used, because a used ticket must still be valid
 * when the start request arrives. Committing and sending a start intent takes tens of ms. */
#define TICKET_MARGIN_US (300 * US_PER_MS)
/* Delay before asking the policy service again when it did not respond or gave no tickets. */
#define TICKET_RETRY_US (300 * US_PER_MS)

struct batch_ticket_cache {
	bool request_in_flight;
	uint64_t valid_until_us;
	uint64_t retry_us;
	GArray *tickets; /* of vm_ticket_t */
};

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	Lp__BatchTask first_task; /* first task of the step, which identifies the step */
	uint64_t valid_us;
} advice_call_t;

const char *ticket_find(const batch_step_t *step, const char *vm, uint64_t now_us)
{
	const batch_ticket_cache_t *cache = step->tickets;

	if (cache == NULL || now_us + TICKET_MARGIN_US >= cache->valid_until_us)
		return NULL;
	for (guint i = 0; i < cache->tickets->len; i++) {
		const vm_ticket_t *ticket = &g_array_index(cache->tickets, vm_ticket_t, i);

		if (strcmp(ticket->vm, vm) == 0)
			return ticket->ticket;
	}
	return NULL;
}

void ticket_remove(batch_step_t *step, const char *vm)
{
	batch_ticket_cache_t *cache = step->tickets;

	for (guint i = 0; cache != NULL && i < cache->tickets->len; i++) {
		if (strcmp(g_array_index(cache->tickets, vm_ticket_t, i).vm, vm) != 0)
			continue;
		g_array_remove_index_fast(cache->tickets, i);
		return;
	}
}

void ticket_cache_free(batch_ticket_cache_t *cache)
{
	if (cache == NULL)
		return;
	g_array_unref(cache->tickets);
	g_free(cache);
}

static void on_advice(void *arg, const advice_reply_t *reply)
{
	g_autofree advice_call_t *call = arg;
	batch_leader_t *leader = call->leader;
	batch_task_t *task;
	batch_ticket_cache_t *cache;
	uint64_t now_us;

	if (!leader->active || call->generation != leader->generation)
		return;
	task = batch_state_task(leader->state, &call->first_task);
	if (task == NULL || task->step->tickets == NULL)
		return;
	now_us = leader_now_us(leader);
	cache = task->step->tickets;
	cache->request_in_flight = false;
	g_array_set_size(cache->tickets, 0);
	if (reply->answered) {
		g_array_append_vals(cache->tickets, reply->tickets, (guint)reply->ticket_count);
		cache->valid_until_us = now_us + call->valid_us;
	}
	if (cache->tickets->len == 0) {
		cache->retry_us = now_us + TICKET_RETRY_US;
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", task->step->job->spec->id, "answered",
				     reply->answered ? "yes" : "no"),
			  "policy service allowed no VM for a step");
	}
	leader->placement_due = true;
}

static void request_tickets(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
			    const char *const *vms, size_t count)
{
	advice_call_t *call = g_new0(advice_call_t, 1);
	task_id_t id;

	call->leader = leader;
	call->generation = leader->generation;
	call->valid_us = queue->advice->valid_ms * US_PER_MS;
	batch_task_ref(&step->tasks[0], &call->first_task);
	task_id_set(&id, &step->tasks[0]);
	step->tickets->request_in_flight = true;
	leader->port.advise(leader->port.arg, &id, vms, count, on_advice, call);
}

bool ticket_ensure(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
		   const char *const *vms, size_t count, uint64_t now_us)
{
	batch_ticket_cache_t *cache = step->tickets;

	if (cache == NULL) {
		cache = g_new0(batch_ticket_cache_t, 1);
		cache->tickets = g_array_new(FALSE, FALSE, sizeof(vm_ticket_t));
		step->tickets = cache;
	}
	if (now_us + TICKET_MARGIN_US < cache->valid_until_us && cache->tickets->len > 0)
		return true;
	if (cache->request_in_flight || now_us < cache->retry_us || count == 0)
		return false;
	request_tickets(leader, step, queue, vms, count);
	return false;
}
