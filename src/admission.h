#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * @file
 * Admission to one pool: a bounded queue for each class, refusal of what cannot finish in time,
 * deficit round robin over the classes; shares of the process for organisations; quotas. Pure.
 */

/** A waiting request; memory is the caller's. */
typedef struct admission_entry {
	TAILQ_ENTRY(admission_entry) link;
	uint64_t deadline_us;
	uint64_t allowance_us; /**< deadline less the time of arrival */
	bool queued;
} admission_entry_t;

typedef struct admission_class {
	TAILQ_ENTRY(admission_class) link;
	TAILQ_HEAD(admission_queue, admission_entry) queue;
	uint32_t length;
	uint32_t limit;	     /**< longest queue */
	uint32_t weight;     /**< share of the slot time relative to other classes with work */
	double deficit_us;   /**< slot time that may be used in this turn */
	double service_us;   /**< smoothed service time; 0: unknown */
	double deviation_us; /**< smoothed mean deviation of it */
} admission_class_t;

typedef struct {
	TAILQ_HEAD(admission_class_list, admission_class) classes;
	admission_class_t *turn; /**< class being served; NULL: none */
	double undo_deficit_us;	 /**< deficit before the latest admission_next() */
	uint32_t length;	 /**< of all queues */
} admission_t;

typedef enum {
	ADMISSION_QUEUED,
	ADMISSION_FULL, /**< the class's queue is full */
	ADMISSION_LATE, /**< would not finish before its deadline */
} admission_result_t;

void admission_init(admission_t *admission);
/** @param priority 0 is the most urgent; each step halves the share, down to an eighth */
void admission_add_class(admission_t *admission, admission_class_t *class, uint32_t priority,
			 uint32_t limit);
void admission_set_class(admission_class_t *class, uint32_t priority, uint32_t limit);

/**
 * Queues a request, or refuses it at once when it cannot finish in time.
 * @param slots slots of the pool that this process may use; all of them are taken when
 * free_slots is 0
 */
admission_result_t admission_offer(admission_t *admission, admission_class_t *class,
				   admission_entry_t *entry, uint32_t slots, uint32_t free_slots,
				   uint64_t now_us);
/** Undoes the latest admission_next(), for a request that found no slot. */
void admission_put_back(admission_t *admission, admission_class_t *class, admission_entry_t *entry);
/** Puts a request that is to be tried again at the head of its queue. */
void admission_requeue(admission_t *admission, admission_class_t *class, admission_entry_t *entry);

/**
 * Takes the next request. late is set when it can no longer finish in time: it must be refused.
 * @return NULL when nothing waits
 */
admission_entry_t *admission_next(admission_t *admission, uint64_t now_us, bool *late);
/** Takes a request whose deadline no longer allows for its service time; NULL when there is none.
 */
admission_entry_t *admission_take_late(admission_t *admission, uint64_t now_us);
/** Takes the oldest request of a class; NULL when there is none. */
admission_entry_t *admission_take(admission_t *admission, admission_class_t *class);
void admission_remove(admission_t *admission, admission_class_t *class, admission_entry_t *entry);
/** Notes the service time of a request that was answered. */
void admission_served(admission_class_t *class, uint64_t service_us);

/**
 * Shares of the process: an organisation may use more than its equal share of the open requests
 * only while a quarter of the limit is free for the others.
 */
bool admission_share_allows(uint32_t open_organisation, uint32_t open_total, uint32_t limit,
			    uint32_t organisations);

/** Token bucket of a quota; holds the requests of one second. */
typedef struct {
	double rate_per_s; /**< 0: no limit */
	double tokens;
	uint64_t filled_us;
} quota_t;

void quota_set(quota_t *quota, double rate_per_s, uint64_t now_us);
/** @return false when the quota is used up */
bool quota_take(quota_t *quota, uint64_t now_us);
