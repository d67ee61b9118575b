#pragma once

#include <stdint.h>
#include <sys/queue.h>

#include "batch.pb-c.h"
#include "metrics.h"

/**
 * @file
 * Replies to edge processes that could not be sent, because the connection to the edge process was
 * down or its send queue was full. They are kept until they can be sent. An edge process does not
 * repeat a call while its connections to the leader last, so that a dropped reply would leave the
 * call without an answer. Single-threaded.
 */

/** Queues a reply to a node. @return 0, or -1 when that is not possible now */
typedef int (*reply_send_fn)(void *arg, uint32_t to, const Lp__BatchReply *reply);

struct kept_reply;

typedef struct {
	reply_send_fn send;
	void *arg;
	TAILQ_HEAD(kept_replies, kept_reply) replies;
	unsigned count;
	metrics_counter_t *kept_total;
	metrics_counter_t *dropped_total;
} reply_queue_t;

void reply_queue_init(reply_queue_t *queue, metrics_t *metrics, reply_send_fn send, void *arg);
/** Drops the replies that are left. */
void reply_queue_finish(reply_queue_t *queue);
/** Sends a reply, or keeps a copy of it. */
void reply_queue_send(reply_queue_t *queue, uint32_t to, const Lp__BatchReply *reply,
		      uint64_t now_us);
/** Sends the kept replies that can be sent now. Drops those for which no client waits any more. */
void reply_queue_flush(reply_queue_t *queue, uint64_t now_us);
