#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admission.h"
#include "route_table.h"
#include "router.h"

/**
 * @file
 * Functions of the route table for the I/O threads. Each request has a ticket: it is admitted, is
 * granted a slot of a target (the right to one request in flight there), is checked right before
 * sending, and gives the slot back. All functions may be called from any thread.
 */

struct route_pool;
struct route_target_entry;

typedef enum {
	ROUTE_QUEUED,	  /**< waits for a slot; notify will be called */
	ROUTE_GRANTED,	  /**< a slot of a target is held; route_finish_attempt() gives it back */
	ROUTE_QUEUE_FULL, /**< the queue is full */
	ROUTE_TOO_LATE,	  /**< would not finish before its deadline */
	ROUTE_QUOTA_EXCEEDED, /**< the team's quota is used up */
	ROUTE_SHARE_EXCEEDED, /**< the organisation's share of this process is used up */
	ROUTE_NO_BUDGET,      /**< the retry budget is used up */
	ROUTE_NO_TARGET,      /**< the pool has no usable target in this data centre */
	ROUTE_REMOVED,	      /**< the template no longer has the pool or the class */
} route_state_t;

/** Result of route_find_class(). */
typedef enum {
	ROUTE_CLASS_FOUND, /**< pool and class were found */
	ROUTE_UNKNOWN_POOL,
	ROUTE_UNKNOWN_CLASS, /**< no class has a prefix of the path */
} route_lookup_result_t;

/** Size of names and addresses in bytes, including the terminating zero. */
#define ROUTE_NAME_MAX 64
/** Number of earlier targets that a retry avoids. */
#define ROUTE_TRIED_MAX 3

/** State of one request in the route table; allocated by the caller. */
typedef struct route_ticket {
	admission_entry_t entry; /**< must be the first member: pointers to it are cast */
	/**
	 * Called once when a queued ticket is granted or refused, from any thread and with the
	 * shard's lock held: it may only post the ticket to its own thread.
	 */
	void (*notify)(struct route_ticket *ticket);
	route_state_t state;

	/* Set by route_find_class(), together with repeatable. */
	uint32_t deadline_ms;
	struct route_pool *pool;
	struct route_class *class;
	char class_name[ROUTE_NAME_MAX];

	/* Valid while granted, together with is_probe. */
	struct route_target_entry *target;
	char address[ROUTE_NAME_MAX];
	uint64_t epoch;
	uint64_t attempt_timeout_us; /**< progress timeout of a repeatable attempt; 0: unknown */

	/** Targets of earlier attempts; may be freed, only the pointers are compared. */
	const struct route_target_entry *tried_targets[ROUTE_TRIED_MAX];
	unsigned attempts;
	bool repeatable; /**< may be run more than once */
	bool is_probe;	 /**< the attempt is the probe request of an ejected target */
	bool timed_out;	 /**< attempt timed out; set by the caller before route_finish_attempt() */
} route_ticket_t;

/**
 * Finds the pool of a service and its class with the longest matching path prefix, and sets them in
 * the ticket.
 * @param path percent-decoded path at the target
 */
route_lookup_result_t route_find_class(route_table_t *table, route_ticket_t *ticket,
				       const char *organisation, const char *service,
				       const char *path);
/** True when the pool has a usable target in this data centre, with or without a free slot. */
bool route_has_usable_target(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us);
/**
 * Admits a request: checks the organisation's share and the team's quota, then queues it or grants
 * it a slot. The caller has set the deadline and the time limit in the entry. route_close_request()
 * must follow whatever the result.
 * @param team team whose quota is charged; NULL or "": none
 */
route_state_t route_admit(route_table_t *table, route_ticket_t *ticket, const char *team,
			  uint64_t now_us);
/**
 * Queues an admitted request again after route_finish_attempt().
 * @param charge_budget the attempt was sent, so that this retry is charged to the retry budget
 */
route_state_t route_retry(route_table_t *table, route_ticket_t *ticket, bool charge_budget,
			  uint64_t now_us);
/** Removes a queued ticket. @return false when it is not queued or was settled meanwhile */
bool route_cancel(route_table_t *table, route_ticket_t *ticket);
/**
 * True while the request may be sent to the granted target: its routing lease has not expired, its
 * epoch is that of the grant, and it is not cordoned.
 */
bool route_grant_is_valid(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us);
/**
 * Ends the attempt of a granted ticket: gives the slot back and updates the target's statistics.
 * @param elapsed_us duration of the attempt
 */
void route_finish_attempt(route_table_t *table, route_ticket_t *ticket, router_result_t result,
			  uint64_t elapsed_us, uint64_t now_us);
/** Ends a request after route_admit(); it must be neither queued nor granted. */
void route_close_request(route_table_t *table, route_ticket_t *ticket);
/**
 * Refuses queued requests that can no longer meet their deadline, and grants slots that became
 * available over time, such as those of targets due for a probe request. Call every 20 ms or so.
 */
void route_tick(route_table_t *table, uint64_t now_us);

/**
 * Copies the address of an entry process of another data centre, in turn.
 * @return false when none is reachable
 */
bool route_forward_address(route_table_t *table, char *address, size_t size);
