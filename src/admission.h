#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * @file
 * Admission control of one pool: bounded queues per request class, refusal of requests that cannot
 * finish before their deadline, and deficit round robin over the classes. Also each organisation's
 * share of the process, and quotas. Has no side effects outside its arguments.
 */

/** A waiting request. The caller owns its memory. */
typedef struct admission_entry {
	TAILQ_ENTRY(admission_entry) link;
	uint64_t deadline_us;
	uint64_t time_limit_us; /**< time from arrival to the deadline */
	bool queued;
} admission_entry_t;

typedef struct admission_class {
	TAILQ_ENTRY(admission_class) link;
	TAILQ_HEAD(admission_queue, admission_entry) queue;
	uint32_t length;
	uint32_t limit;	 /**< maximum length of the queue */
	uint32_t weight; /**< share of the slot time relative to other classes that have requests */
	double deficit_us;   /**< slot time that the class may still use in its turn */
	double service_us;   /**< moving average of the service time; 0: unknown */
	double deviation_us; /**< moving average of the absolute deviation from service_us */
} admission_class_t;

typedef struct {
	TAILQ_HEAD(admission_class_list, admission_class) classes;
	admission_class_t *current_class; /**< class whose turn it is; NULL: none yet */
	double previous_deficit_us; /**< deficit of the class before the latest admission_next() */
	uint32_t length;	    /**< sum over all queues */
} admission_t;

typedef enum {
	ADMISSION_QUEUED,
	ADMISSION_FULL, /**< refused: the class's queue is full */
	ADMISSION_LATE, /**< refused: would not finish before its deadline */
} admission_result_t;

void admission_init(admission_t *admission);
/**
 * Adds a class. The caller owns its memory.
 * @param priority 0 is the most urgent; each step halves the weight, down to an eighth
 * @param limit maximum length of its queue
 */
void admission_add_class(admission_t *admission, admission_class_t *class, uint32_t priority,
			 uint32_t limit);
void admission_set_class(admission_class_t *class, uint32_t priority, uint32_t limit);

/**
 * Queues a request, or refuses it at once when the queue is full or it cannot finish before its
 * deadline.
 * @param slots slots of the pool that this process may use
 * @param free_slots those of them that are free
 */
admission_result_t admission_offer(admission_t *admission, admission_class_t *class,
				   admission_entry_t *entry, uint32_t slots, uint32_t free_slots,
				   uint64_t now_us);
/** Undoes the latest admission_next() when no slot was found for its request. */
void admission_undo_next(admission_t *admission, admission_class_t *class,
			 admission_entry_t *entry);
/** Puts a request that is retried at the head of its queue. */
void admission_requeue(admission_t *admission, admission_class_t *class, admission_entry_t *entry);

/**
 * Removes the next request from its queue.
 * @param late set to true when the request can no longer finish before its deadline and must be
 * refused
 * @return NULL when all queues are empty
 */
admission_entry_t *admission_next(admission_t *admission, uint64_t now_us, bool *late);
/**
 * Removes a request that can no longer finish before its deadline. @return NULL when there is none
 */
admission_entry_t *admission_take_late(admission_t *admission, uint64_t now_us);
/** Removes the oldest request of a class. @return NULL when there is none */
admission_entry_t *admission_take_oldest(admission_t *admission, admission_class_t *class);
void admission_remove(admission_t *admission, admission_class_t *class, admission_entry_t *entry);
/** Updates the estimated service time of the class from an answered request. */
void admission_record_service_time(admission_class_t *class, uint64_t service_us);

/**
 * True when the organisation may open another request. It may exceed its equal share of the limit
 * only while a quarter of the limit is free for the others.
 * @param open_organisation open requests of the organisation
 * @param open_total open requests of all organisations
 * @param limit maximum of open_total
 * @param organisations number of organisations
 */
bool admission_share_allows(uint32_t open_organisation, uint32_t open_total, uint32_t limit,
			    uint32_t organisations);

/** Token bucket that enforces a request rate; its capacity is the requests of one second. */
typedef struct {
	double rate_per_s; /**< 0: unlimited */
	double tokens;
	uint64_t refilled_us;
} quota_t;

void quota_set(quota_t *quota, double rate_per_s, uint64_t now_us);
/** Takes a token for one request. @return false when none is left */
bool quota_take(quota_t *quota, uint64_t now_us);
