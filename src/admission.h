#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * @file
 * Admission control of one pool. Each request class has a bounded queue; requests that cannot
 * finish before their deadline are refused; deficit round robin shares the slots among the classes.
 * Also limits each organisation's share of the process and enforces quotas. Has no side effects
 * outside its arguments.
 */

/** A waiting request. The caller owns its memory. */
typedef struct admission_entry {
	TAILQ_ENTRY(admission_entry) link;
	uint64_t deadline_us;
	uint64_t time_limit_us; /**< time from the request's arrival to its deadline */
	bool queued;
} admission_entry_t;

typedef struct admission_class {
	TAILQ_ENTRY(admission_class) link;
	TAILQ_HEAD(admission_queue, admission_entry) queue;
	uint32_t length;
	uint32_t limit; /**< maximum length of the queue */
	/** share of slot time, relative to the other classes with requests */
	uint32_t weight;
	double deficit_us;   /**< slot time that the class can still use in its current turn */
	double service_us;   /**< moving average of the service time; 0: not known yet */
	double deviation_us; /**< moving average of the absolute deviation from service_us */
} admission_class_t;

typedef struct {
	TAILQ_HEAD(admission_class_list, admission_class) classes;
	admission_class_t *current_class; /**< class whose turn it is; NULL before the first turn */
	double previous_deficit_us; /**< deficit of the class before the latest admission_next() */
	uint32_t length;	    /**< number of requests in all queues */
} admission_t;

typedef enum {
	ADMISSION_QUEUED,
	ADMISSION_FULL, /**< refused: the class's queue is full */
	ADMISSION_LATE, /**< refused: would not finish before its deadline */
} admission_result_t;

void admission_init(admission_t *admission);
/**
 * Adds a class. The caller owns the class's memory.
 * @param priority 0 is the most urgent; each step up to 3 halves the weight
 * @param limit maximum length of the class's queue
 */
void admission_add_class(admission_t *admission, admission_class_t *class, uint32_t priority,
			 uint32_t limit);
void admission_set_class(admission_class_t *class, uint32_t priority, uint32_t limit);

/**
 * Queues a request, or refuses it at once when the queue is full or the request cannot finish
 * before its deadline.
 * @param slots number of the pool's slots that this process may use
 * @param free_slots number of those slots that are free
 */
admission_result_t admission_offer(admission_t *admission, admission_class_t *class,
				   admission_entry_t *entry, uint32_t slots, uint32_t free_slots,
				   uint64_t now_us);
/** Undoes the latest admission_next(), for use when no slot was found for the request. */
void admission_undo_next(admission_t *admission, admission_class_t *class,
			 admission_entry_t *entry);
/** Puts a request back at the head of its queue, so that it is tried again. */
void admission_requeue(admission_t *admission, admission_class_t *class, admission_entry_t *entry);

/**
 * Removes the next request from its queue.
 * @param late set to true when the request cannot finish before its deadline any more; the caller
 * must then refuse it
 * @return the request, or NULL when all queues are empty
 */
admission_entry_t *admission_next(admission_t *admission, uint64_t now_us, bool *late);
/**
 * Removes a request that cannot finish before its deadline any more.
 * @return the request, or NULL when there is none
 */
admission_entry_t *admission_take_late(admission_t *admission, uint64_t now_us);
/**
 * Removes the oldest request of a class.
 * @return the request, or NULL when the queue is empty
 */
admission_entry_t *admission_take_oldest(admission_t *admission, admission_class_t *class);
void admission_remove(admission_t *admission, admission_class_t *class, admission_entry_t *entry);
/** Updates the class's estimated service time with that of a request that was answered. */
void admission_record_service_time(admission_class_t *class, uint64_t service_us);

/**
 * True when the organisation may have another open request. Up to its equal share of the limit it
 * always may; beyond that, only while more than a quarter of the limit is free for other
 * organisations.
 * @param open_organisation open requests of the organisation
 * @param open_total open requests of all organisations
 * @param limit maximum of open_total
 * @param organisations number of organisations
 */
bool admission_share_allows(uint32_t open_organisation, uint32_t open_total, uint32_t limit,
			    uint32_t organisations);

/**
 * Token bucket that limits the rate of requests. It holds at most the tokens of one second, but at
 * least one.
 */
typedef struct {
	double rate_per_s; /**< permitted requests per second; 0: unlimited */
	double tokens;
	uint64_t refilled_us;
} quota_t;

void quota_set(quota_t *quota, double rate_per_s, uint64_t now_us);
/**
 * Takes a token for one request.
 * @return false when no token is left
 */
bool quota_take(quota_t *quota, uint64_t now_us);
