#include "serial_queue.h"

#include "clock.h"

void serial_queue_init(serial_queue_t *queue)
{
	*queue = (serial_queue_t){0};
	TAILQ_INIT(&queue->waiting);
}

/* Inserts the call behind the last waiting one that does not go after it. */
static void insert(serial_queue_t *queue, serial_call_t *call)
{
	serial_call_t *before = TAILQ_LAST(&queue->waiting, serial_calls);

	while (before != NULL && !before->first && (call->first || before->tag_us > call->tag_us))
		before = TAILQ_PREV(before, serial_calls, link);
	if (before != NULL)
		TAILQ_INSERT_AFTER(&queue->waiting, before, call, link);
	else
		TAILQ_INSERT_HEAD(&queue->waiting, call, link);
}

void serial_queue_add(serial_queue_t *queue, serial_source_t *source, serial_call_t *call,
		      uint64_t work_us)
{
	call->work_us = work_us;
	call->first = false;
	call->tag_us =
		source->next_tag_us > queue->virtual_us ? source->next_tag_us : queue->virtual_us;
	source->next_tag_us = call->tag_us + work_us;
	insert(queue, call);
}

void serial_queue_add_first(serial_queue_t *queue, serial_call_t *call, uint64_t work_us)
{
	call->work_us = work_us;
	call->first = true;
	insert(queue, call);
}

void serial_queue_return(serial_queue_t *queue, serial_call_t *call)
{
	call->first = true;
	TAILQ_INSERT_HEAD(&queue->waiting, call, link);
}

static bool has_room(const serial_queue_t *queue, uint64_t work_us)
{
	if (queue->under_way_count == 0)
		return true;
	return queue->under_way_count < SERIAL_CALLS_MAX &&
	       queue->under_way_us + work_us <= SERIAL_WORK_MAX_US;
}

bool serial_queue_is_full(const serial_queue_t *queue)
{
	return !TAILQ_EMPTY(&queue->waiting) || !has_room(queue, 0);
}

size_t serial_queue_length(const serial_queue_t *queue)
{
	const serial_call_t *call;
	size_t length = 0;

	TAILQ_FOREACH (call, &queue->waiting, link)
		length++;
	return length;
}

void serial_queue_remove(serial_queue_t *queue, serial_call_t *call)
{
	TAILQ_REMOVE(&queue->waiting, call, link);
}

serial_call_t *serial_queue_withdraw(serial_queue_t *queue)
{
	serial_call_t *call = TAILQ_FIRST(&queue->waiting);

	if (call != NULL)
		serial_queue_remove(queue, call);
	return call;
}

void serial_queue_hand_over(serial_queue_t *queue, serial_call_t *call)
{
	serial_queue_remove(queue, call);
	if (!call->first && call->tag_us > queue->virtual_us)
		queue->virtual_us = call->tag_us;
}

serial_call_t *serial_queue_next(serial_queue_t *queue)
{
	serial_call_t *call = TAILQ_FIRST(&queue->waiting);

	if (call == NULL || !has_room(queue, call->work_us))
		return NULL;
	queue->under_way_count++;
	queue->under_way_us += call->work_us;
	serial_queue_hand_over(queue, call);
	return call;
}

void serial_queue_ended(serial_queue_t *queue, const serial_call_t *call)
{
	queue->under_way_count--;
	queue->under_way_us -= call->work_us;
}
