#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admission.h"
#include "route_table.h"
#include "router.h"

/**
 * @file
 * The side of the route table that the I/O threads use: a ticket for each request is admitted,
 * granted a slot of a target, checked right before sending, and finished. Any thread.
 */

struct route_pool;
struct route_target_entry;

typedef enum {
	ROUTE_QUEUED,	 /**< notify will be called */
	ROUTE_GRANTED,	 /**< a slot of a target is held; route_finish() gives it back */
	ROUTE_FULL,	 /**< the queue is full */
	ROUTE_LATE,	 /**< cannot finish before the deadline */
	ROUTE_QUOTA,	 /**< the team's quota is used up */
	ROUTE_SHARE,	 /**< the organisation's share of this process is used up */
	ROUTE_NO_BUDGET, /**< the retry budget is used up */
	ROUTE_NO_TARGET, /**< the pool has no usable target here */
	ROUTE_GONE,	 /**< the template no longer has the pool or the class */
} route_state_t;

typedef enum {
	ROUTE_OPENED,
	ROUTE_UNKNOWN_POOL,
	ROUTE_UNKNOWN_CLASS,
} route_open_t;

#define ROUTE_NAME_MAX 64
#define ROUTE_TRIED_MAX 3

/** A request on its way through the table; memory is the caller's. */
typedef struct route_ticket {
	admission_entry_t entry;
	/**
	 * Called once when a queued ticket is granted or refused, by any thread and under the lock
	 * of the pool: it must only pass the ticket on.
	 */
	void (*notify)(struct route_ticket *ticket);
	route_state_t state;

	/* Set by route_open(), repeatable too. */
	uint32_t deadline_ms;
	struct route_pool *pool;
	struct route_class *class;
	char class_name[ROUTE_NAME_MAX];

	/* Set while granted. */
	struct route_target_entry *target;
	char address[ROUTE_NAME_MAX];
	uint64_t epoch;
	uint64_t patience_us; /**< silence after which an answer is unlikely; 0: unknown */

	/** Targets of earlier attempts, for comparison only. */
	const struct route_target_entry *tried[ROUTE_TRIED_MAX];
	unsigned attempts;
	bool repeatable;
	bool trial;	/**< set while granted */
	bool timed_out; /**< set before route_finish(): the attempt ran out of time */
} route_ticket_t;

/**
 * Finds the pool and the class of the longest matching path prefix.
 * @param path decoded
 */
route_open_t route_open(route_table_t *table, route_ticket_t *ticket, const char *organisation,
			const char *service, const char *path);
/** True when a local target could be used as far as leases and cordons go. */
bool route_usable(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us);
/**
 * Admits a request. Its deadline is set in the entry.
 * @param team for its quota; NULL or "": none
 */
route_state_t route_admit(route_table_t *table, route_ticket_t *ticket, const char *team,
			  uint64_t now_us);
/** Admits a request again after an attempt that was finished. @param budget takes a retry of it */
route_state_t route_retry(route_table_t *table, route_ticket_t *ticket, bool budget,
			  uint64_t now_us);
/** Takes a queued ticket out. @return false when it was not queued (any more) */
bool route_cancel(route_table_t *table, route_ticket_t *ticket);
/** True while the granted target may be sent to: lease, epoch, cordon. */
bool route_check(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us);
/** Ends the attempt of a granted ticket. */
void route_finish(route_table_t *table, route_ticket_t *ticket, router_result_t result,
		  uint64_t elapsed_us, uint64_t now_us);
/** Ends an admitted request; it is neither queued nor granted any more. */
void route_close(route_table_t *table, route_ticket_t *ticket);
/** Refuses what is late and grants what leases and trials have made possible; every 20 ms or so. */
void route_tick(route_table_t *table, uint64_t now_us);

/** Address of an entry process of another data centre. @return false when none is up */
bool route_forward_address(route_table_t *table, char *address, size_t size);
