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
	ROUTE_GRANTED,	  /**< holds a slot of a target, which route_finish_attempt() gives back */
	ROUTE_QUEUE_FULL, /**< the queue is full */
	ROUTE_TOO_LATE,	  /**< the request would not finish before its deadline */
	ROUTE_QUOTA_EXCEEDED, /**< the team's quota is used up */
	/** The organisation's share of this process's open requests is used up. */
	ROUTE_SHARE_EXCEEDED,
	ROUTE_NO_BUDGET, /**< the retry budget is used up */
	ROUTE_NO_TARGET, /**< the pool has no usable target in this data centre */
	ROUTE_REMOVED,	 /**< the template no longer has the pool or the class */
} route_state_t;

/** Result of route_find_class(). */
typedef enum {
	ROUTE_CLASS_FOUND, /**< the pool and the class were found */
	ROUTE_UNKNOWN_POOL,
	ROUTE_UNKNOWN_CLASS, /**< the pool has no class whose prefix matches the path */
} route_lookup_result_t;

/** Size of names and addresses in bytes, including the terminating zero. */
#define ROUTE_NAME_MAX 64
/** Number of targets of earlier attempts that a retry avoids. */
#define ROUTE_TRIED_MAX 3

/** State of one request in the route table; allocated by the caller. */
typedef struct route_ticket {
	/** Must be the first member: pointers to it are cast to route_ticket_t. */
	admission_entry_t entry;
	/**
	 * Called once when a queued ticket is granted or refused, from any thread and with the
	 * shard's lock held. It must do no more than post the ticket to its own thread.
	 */
	void (*notify)(struct route_ticket *ticket);
	route_state_t state;

	/* deadline_ms, pool, class, class_name and repeatable are set by route_find_class(). */
	uint32_t deadline_ms;
	struct route_pool *pool;
	struct route_class *class;
	char class_name[ROUTE_NAME_MAX];

	/* target, address, epoch, attempt_timeout_us and is_probe are valid while the state is
	 * ROUTE_GRANTED. */
	struct route_target_entry *target;
	char address[ROUTE_NAME_MAX];
	uint64_t epoch;
	/** Attempt timeout, used for repeatable requests; 0: unknown. */
	uint64_t attempt_timeout_us;

	/** Targets of earlier attempts. They may have been freed: only compare the pointers. */
	const struct route_target_entry *tried_targets[ROUTE_TRIED_MAX];
	unsigned attempts;
	bool repeatable; /**< the request may be run more than once */
	bool is_probe;	 /**< the attempt is the probe request of an ejected target */
	/** The attempt timed out; the caller sets it before route_finish_attempt(). */
	bool timed_out;
} route_ticket_t;

/**
 * Finds the pool of a service and the class with the longest prefix of the path, and sets both in
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
 * it a slot. Before the call, the caller must set the deadline and the time limit in ticket->entry.
 * It must call route_close_request() later, whatever the result.
 * @param team team whose quota is charged; NULL or "": none
 */
route_state_t route_admit(route_table_t *table, route_ticket_t *ticket, const char *team,
			  uint64_t now_us);
/**
 * Queues an admitted request again after route_finish_attempt().
 * @param charge_budget true when the attempt was sent, to charge the retry to the retry budget
 */
route_state_t route_retry(route_table_t *table, route_ticket_t *ticket, bool charge_budget,
			  uint64_t now_us);
/** Removes a ticket from its queue. @return false when it is not queued (any more) */
bool route_cancel(route_table_t *table, route_ticket_t *ticket);
/**
 * True while the request may be sent to the granted target: the target is still usable and has the
 * epoch of the grant.
 */
bool route_grant_is_valid(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us);
/**
 * Ends the attempt of a granted ticket: gives the slot back and updates the target's statistics.
 * @param elapsed_us duration of the attempt
 */
void route_finish_attempt(route_table_t *table, route_ticket_t *ticket, router_result_t result,
			  uint64_t elapsed_us, uint64_t now_us);
/** Ends a request that was passed to route_admit(). It must be neither queued nor granted. */
void route_close_request(route_table_t *table, route_ticket_t *ticket);
/**
 * Refuses queued requests that can no longer meet their deadline, and grants slots that have become
 * available over time, such as those of targets due for a probe request. Call it about every 20 ms.
 */
void route_tick(route_table_t *table, uint64_t now_us);

/**
 * Copies the address of a reachable entry process of another data centre, chosen round-robin.
 * @return false when there is none
 */
bool route_forward_address(route_table_t *table, char *address, size_t size);
