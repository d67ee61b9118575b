#include "admission.h"

#include <stddef.h>

#include <glib.h>

#include "clock.h"

#define SERVICE_TIME_EWMA_WEIGHT 0.1
/*
 * Lower limit of a request's cost in the round robin. Classes whose service time is not known yet
 * have this cost.
 */
#define MIN_COST_US 1.0

void admission_init(admission_t *admission)
{
	*admission = (admission_t){0};
	TAILQ_INIT(&admission->classes);
}

void admission_set_class(admission_class_t *class, uint32_t priority, uint32_t limit)
{
	class->weight = 8U >> MIN(priority, 3);
	class->limit = limit;
}

void admission_add_class(admission_t *admission, admission_class_t *class, uint32_t priority,
			 uint32_t limit)
{
	*class = (admission_class_t){0};
	TAILQ_INIT(&class->queue);
	admission_set_class(class, priority, limit);
	TAILQ_INSERT_TAIL(&admission->classes, class, link);
}

/*
 * Returns the time within which a request is expected to be served: the mean service time plus four
 * mean deviations, which covers 99% of exponentially distributed service times.
 * The result is at most 90% of the time from arrival to the deadline, so that a request that finds
 * a free slot is always tried. Otherwise a class whose estimate once exceeded its deadlines would
 * be refused for ever, because only responses correct the estimate.
 */
static double service_time_bound_us(const admission_class_t *class, const admission_entry_t *entry)
{
	return MIN(class->service_us + 4 * class->deviation_us, 0.9 * (double)entry->time_limit_us);
}

static bool can_meet_deadline(const admission_class_t *class, const admission_entry_t *entry,
			      double wait_us, uint64_t now_us)
{
	return (double)now_us + wait_us + service_time_bound_us(class, entry) <=
	       (double)entry->deadline_us;
}

/*
 * Returns the share of the slots that the round robin gives to the class while the set of classes
 * with queued requests stays the same.
 */
static double slot_share(const admission_t *admission, const admission_class_t *class)
{
	uint32_t weights = class->weight;
	const admission_class_t *other;

	TAILQ_FOREACH (other, &admission->classes, link) {
		if (other != class && other->length > 0)
			weights += other->weight;
	}
	return (double)class->weight / weights;
}

static double expected_wait_us(const admission_t *admission, const admission_class_t *class,
			       uint32_t slots, uint32_t free_slots)
{
	if (free_slots > admission->length)
		return 0;
	return (class->length + 1) * class->service_us /
	       (MAX(slots, 1) * slot_share(admission, class));
}

admission_result_t admission_offer(admission_t *admission, admission_class_t *class,
				   admission_entry_t *entry, uint32_t slots, uint32_t free_slots,
				   uint64_t now_us)
{
	double wait_us = expected_wait_us(admission, class, slots, free_slots);

	entry->queued = false;
	if (class->length >= class->limit && free_slots <= admission->length)
		return ADMISSION_FULL;
	if (!can_meet_deadline(class, entry, wait_us, now_us))
		return ADMISSION_LATE;
	TAILQ_INSERT_TAIL(&class->queue, entry, link);
	entry->queued = true;
	class->length++;
	admission->length++;
	return ADMISSION_QUEUED;
}

static double request_cost_us(const admission_class_t *class)
{
	return MAX(class->service_us, MIN_COST_US);
}

void admission_requeue(admission_t *admission, admission_class_t *class, admission_entry_t *entry)
{
	TAILQ_INSERT_HEAD(&class->queue, entry, link);
	entry->queued = true;
	class->length++;
	admission->length++;
}

void admission_undo_next(admission_t *admission, admission_class_t *class, admission_entry_t *entry)
{
	admission_requeue(admission, class, entry);
	class->deficit_us = admission->previous_deficit_us;
}

void admission_remove(admission_t *admission, admission_class_t *class, admission_entry_t *entry)
{
	g_assert(entry->queued);
	TAILQ_REMOVE(&class->queue, entry, link);
	entry->queued = false;
	class->length--;
	admission->length--;
}

/*
 * Returns the slot time that a class of weight 1 gets per turn. It is the cost of the most
 * expensive request of any class, so that each turn serves at least one request.
 */
static double quantum_us(const admission_t *admission)
{
	const admission_class_t *class;
	double quantum = MIN_COST_US;

	TAILQ_FOREACH (class, &admission->classes, link)
		quantum = MAX(quantum, request_cost_us(class));
	return quantum;
}

static void advance_round_robin(admission_t *admission)
{
	if (admission->current_class != NULL)
		admission->current_class = TAILQ_NEXT(admission->current_class, link);
	if (admission->current_class == NULL)
		admission->current_class = TAILQ_FIRST(&admission->classes);
	if (admission->current_class->length > 0)
		admission->current_class->deficit_us +=
			admission->current_class->weight * quantum_us(admission);
	else
		admission->current_class->deficit_us = 0;
}

admission_entry_t *admission_next(admission_t *admission, uint64_t now_us, bool *late)
{
	admission_class_t *class;
	admission_entry_t *entry;

	if (admission->length == 0)
		return NULL;
	while (admission->current_class == NULL || admission->current_class->length == 0 ||
	       admission->current_class->deficit_us < request_cost_us(admission->current_class))
		advance_round_robin(admission);
	class = admission->current_class;
	entry = TAILQ_FIRST(&class->queue);
	admission->previous_deficit_us = class->deficit_us;
	admission_remove(admission, class, entry);
	*late = !can_meet_deadline(class, entry, 0, now_us);
	if (!*late)
		class->deficit_us -= request_cost_us(class);
	/*
	 * A class whose queue is empty must not keep its deficit, or it would later be served ahead
	 * of the others.
	 */
	if (class->length == 0)
		class->deficit_us = 0;
	return entry;
}

admission_entry_t *admission_take_late(admission_t *admission, uint64_t now_us)
{
	admission_class_t *class;
	admission_entry_t *entry;

	TAILQ_FOREACH (class, &admission->classes, link) {
		TAILQ_FOREACH (entry, &class->queue, link) {
			if (!can_meet_deadline(class, entry, 0, now_us)) {
				admission_remove(admission, class, entry);
				return entry;
			}
		}
	}
	return NULL;
}

admission_entry_t *admission_take_oldest(admission_t *admission, admission_class_t *class)
{
	admission_entry_t *entry = TAILQ_FIRST(&class->queue);

	if (entry != NULL)
		admission_remove(admission, class, entry);
	return entry;
}

void admission_record_service_time(admission_class_t *class, uint64_t service_us)
{
	double difference = (double)service_us - class->service_us;

	if (class->service_us <= 0) {
		class->service_us = (double)service_us;
		return;
	}
	class->service_us += SERVICE_TIME_EWMA_WEIGHT * difference;
	class->deviation_us += SERVICE_TIME_EWMA_WEIGHT * (ABS(difference) - class->deviation_us);
}

bool admission_share_allows(uint32_t open_organisation, uint32_t open_total, uint32_t limit,
			    uint32_t organisations)
{
	if (open_total >= limit)
		return false;
	return open_organisation < limit / MAX(organisations, 1) || open_total < limit / 4 * 3;
}

void quota_set(quota_t *quota, double rate_per_s, uint64_t now_us)
{
	if (quota->refilled_us == 0) {
		quota->tokens = MAX(rate_per_s, 1.0);
		quota->refilled_us = now_us;
	}
	quota->rate_per_s = rate_per_s;
}

bool quota_take(quota_t *quota, uint64_t now_us)
{
	double burst = MAX(quota->rate_per_s, 1.0);

	if (quota->rate_per_s <= 0)
		return true;
	if (now_us > quota->refilled_us) {
		quota->tokens += quota->rate_per_s * (double)(now_us - quota->refilled_us) /
				 (double)US_PER_S;
		quota->tokens = MIN(quota->tokens, burst);
		quota->refilled_us = now_us;
	}
	if (quota->tokens < 1.0)
		return false;
	quota->tokens -= 1.0;
	return true;
}
