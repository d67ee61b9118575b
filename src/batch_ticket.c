#define G_LOG_DOMAIN "batch"

#include <string.h>

#include "batch_internal.h"
#include "batch_leader_internal.h"
#include "log.h"

/* A ticket is not used in the last part of its validity, so that it is valid when the start
 * arrives: a recorded intent and an order take some tens of ms. */
#define TICKET_MARGIN_US (300 * US_PER_MS)
/* After an answer without tickets, or none, the policy is asked again. */
#define TICKET_RETRY_US (300 * US_PER_MS)

struct batch_ticket_book {
	bool busy;
	uint64_t valid_until_us;
	uint64_t retry_us;
	GArray *tickets; /* vm_ticket_t */
};

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	Lp__BatchTask ref; /* the first task of the step */
	uint64_t valid_us;
} ask_t;

const char *ticket_find(const batch_step_t *step, const char *vm, uint64_t now_us)
{
	const batch_ticket_book_t *book = step->tickets;

	if (book == NULL || now_us + TICKET_MARGIN_US >= book->valid_until_us)
		return NULL;
	for (guint i = 0; i < book->tickets->len; i++) {
		const vm_ticket_t *ticket = &g_array_index(book->tickets, vm_ticket_t, i);

		if (strcmp(ticket->vm, vm) == 0)
			return ticket->ticket;
	}
	return NULL;
}

void ticket_drop(batch_step_t *step, const char *vm)
{
	batch_ticket_book_t *book = step->tickets;

	for (guint i = 0; book != NULL && i < book->tickets->len; i++) {
		if (strcmp(g_array_index(book->tickets, vm_ticket_t, i).vm, vm) != 0)
			continue;
		g_array_remove_index_fast(book->tickets, i);
		return;
	}
}

void ticket_book_free(batch_ticket_book_t *book)
{
	if (book == NULL)
		return;
	g_array_unref(book->tickets);
	g_free(book);
}

static void on_advice(void *arg, const advice_reply_t *reply)
{
	g_autofree ask_t *ask = arg;
	batch_leader_t *leader = ask->leader;
	batch_task_t *task;
	batch_ticket_book_t *book;
	uint64_t now_us;

	if (!leader->active || ask->generation != leader->generation)
		return;
	task = batch_state_task(leader->state, &ask->ref);
	if (task == NULL || task->step->tickets == NULL)
		return;
	now_us = leader_now_us(leader);
	book = task->step->tickets;
	book->busy = false;
	g_array_set_size(book->tickets, 0);
	if (reply->answered) {
		g_array_append_vals(book->tickets, reply->tickets, (guint)reply->ticket_count);
		book->valid_until_us = now_us + ask->valid_us;
	}
	if (book->tickets->len == 0) {
		book->retry_us = now_us + TICKET_RETRY_US;
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", task->step->job->spec->id, "answered",
				     reply->answered ? "yes" : "no"),
			  "the queue's policy allows no VM for a step");
	}
	leader->place_due = true;
}

static void ask(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
		const char *const *vms, size_t count)
{
	ask_t *context = g_new0(ask_t, 1);
	task_name_t name;

	context->leader = leader;
	context->generation = leader->generation;
	context->valid_us = queue->advice->valid_ms * US_PER_MS;
	batch_task_ref(&step->tasks[0], &context->ref);
	task_name_set(&name, &step->tasks[0]);
	step->tickets->busy = true;
	leader->port.advise(leader->port.arg, &name, vms, count, on_advice, context);
}

bool ticket_ready(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
		  const char *const *vms, size_t count, uint64_t now_us)
{
	batch_ticket_book_t *book = step->tickets;

	if (book == NULL) {
		book = g_new0(batch_ticket_book_t, 1);
		book->tickets = g_array_new(FALSE, FALSE, sizeof(vm_ticket_t));
		step->tickets = book;
	}
	if (now_us + TICKET_MARGIN_US < book->valid_until_us && book->tickets->len > 0)
		return true;
	if (book->busy || now_us < book->retry_us || count == 0)
		return false;
	ask(leader, step, queue, vms, count);
	return false;
}
