#include "serial_queue.h"

#include <stddef.h>

#include "clock.h"

void serial_queue_init(serial_queue_t *queue)
{
	*queue = (serial_queue_t){0};
	TAILQ_INIT(&queue->waiting);
}

void serial_queue_add(serial_queue_t *queue, serial_call_t *call, uint64_t work_us)
{
	call->work_us = work_us;
	TAILQ_INSERT_TAIL(&queue->waiting, call, link);
}

void serial_queue_add_first(serial_queue_t *queue, serial_call_t *call, uint64_t work_us)
{
	call->work_us = work_us;
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

serial_call_t *serial_queue_next(serial_queue_t *queue)
{
	serial_call_t *call = TAILQ_FIRST(&queue->waiting);

	if (call == NULL || !has_room(queue, call->work_us))
		return NULL;
	TAILQ_REMOVE(&queue->waiting, call, link);
	queue->under_way_count++;
	queue->under_way_us += call->work_us;
	return call;
}

serial_call_t *serial_queue_withdraw(serial_queue_t *queue)
{
	serial_call_t *call = TAILQ_FIRST(&queue->waiting);

	if (call != NULL)
		TAILQ_REMOVE(&queue->waiting, call, link);
	return call;
}

void serial_queue_ended(serial_queue_t *queue, const serial_call_t *call)
{
	queue->under_way_count--;
	queue->under_way_us -= call->work_us;
}
