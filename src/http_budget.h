#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * @file
 * Memory that the clients of an HTTP server make it hold: connections, headers, bodies and replies
 * that are not sent yet. Answers the load of many clients that send large requests at the same time
 * and do not finish them. Decides whether more fits, and which connection gives way; takes the time
 * as an argument and closes nothing itself.
 */

/**
 * A holder with more than this is large. Large ones leave a quarter of the budget to the others, so
 * that small requests get through while large ones press.
 */
#define HTTP_BUDGET_SMALL_BYTES ((size_t)128 * 1024)
/** A connection gives way once it has made no progress for this long. */
#define HTTP_BUDGET_STALL_US 1000000ULL
/** Received bytes that count as progress; fewer do not keep a connection from giving way. */
#define HTTP_BUDGET_PROGRESS_BYTES 1024

/** What one connection holds. */
typedef struct http_holder {
	TAILQ_ENTRY(http_holder) link;
	size_t held; /**< in bytes */
	uint64_t progress_us;
	size_t received;   /**< bytes received since progress_us */
	bool may_give_way; /**< no request of the connection is being handled or answered */
} http_holder_t;

typedef struct {
	size_t limit; /**< in bytes; 0: no limit */
	size_t used;
	TAILQ_HEAD(http_holders, http_holder) holders; /**< least recent progress first */
} http_budget_t;

void http_budget_init(http_budget_t *budget, size_t limit);
/** Adds a connection, which holds nothing yet. */
void http_budget_add(http_budget_t *budget, http_holder_t *holder, uint64_t now_us);
/** Removes a connection and what it holds. */
void http_budget_remove(http_budget_t *budget, http_holder_t *holder);
/** True when the connection may hold that many bytes instead of what it holds. */
bool http_budget_fits(const http_budget_t *budget, const http_holder_t *holder, size_t held);
/** Sets what the connection holds, whether it fits or not. */
void http_budget_set(http_budget_t *budget, http_holder_t *holder, size_t held);
/** Notes that the connection has made progress. */
void http_budget_progress(http_budget_t *budget, http_holder_t *holder, uint64_t now_us);
/** Notes received bytes, which are progress once they are enough. */
void http_budget_received(http_budget_t *budget, http_holder_t *holder, size_t bytes,
			  uint64_t now_us);
/**
 * Chooses the connection that gives way: of those that have stalled for longest, the one with the
 * most bytes held for the longest time.
 * @param except does not give way; may be NULL
 * @return NULL when none has stalled
 */
http_holder_t *http_budget_choose(const http_budget_t *budget, const http_holder_t *except,
				  uint64_t now_us);
