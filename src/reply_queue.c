#include "reply_queue.h"

#include <glib.h>

#include "clock.h"
#include "message.h"

/* Longest time that a reply is kept. Clients wait for 3 s. */
#define KEEP_US (3 * US_PER_S)
#define KEPT_MAX 8192

struct kept_reply {
	TAILQ_ENTRY(kept_reply) link;
	uint32_t to;
	uint64_t kept_since_us;
	Lp__BatchReply *reply;
};

void reply_queue_init(reply_queue_t *queue, metrics_t *metrics, reply_send_fn send, void *arg)
{
	*queue = (reply_queue_t){.send = send, .arg = arg};
	TAILQ_INIT(&queue->replies);
	queue->kept_total = metrics_counter(metrics, "batch_replies_kept_total", "");
	queue->dropped_total = metrics_counter(metrics, "batch_replies_dropped_total", "");
}

static void remove_reply(reply_queue_t *queue, struct kept_reply *kept)
{
	TAILQ_REMOVE(&queue->replies, kept, link);
	queue->count--;
	lp__batch_reply__free_unpacked(kept->reply, NULL);
	g_free(kept);
}

static void drop_reply(reply_queue_t *queue, struct kept_reply *kept)
{
	metrics_add(queue->dropped_total, 1);
	remove_reply(queue, kept);
}

void reply_queue_finish(reply_queue_t *queue)
{
	struct kept_reply *kept;
	struct kept_reply *next;

	for (kept = TAILQ_FIRST(&queue->replies); kept != NULL; kept = next) {
		next = TAILQ_NEXT(kept, link);
		drop_reply(queue, kept);
	}
}

void reply_queue_send(reply_queue_t *queue, uint32_t to, const Lp__BatchReply *reply,
		      uint64_t now_us)
{
	struct kept_reply *kept;

	if (queue->send(queue->arg, to, reply) == 0)
		return;
	if (queue->count >= KEPT_MAX)
		drop_reply(queue, TAILQ_FIRST(&queue->replies));
	kept = g_new0(struct kept_reply, 1);
	*kept = (struct kept_reply){
		.to = to, .kept_since_us = now_us, .reply = message_copy(&reply->base)};
	TAILQ_INSERT_TAIL(&queue->replies, kept, link);
	queue->count++;
	metrics_add(queue->kept_total, 1);
}

void reply_queue_flush(reply_queue_t *queue, uint64_t now_us)
{
	struct kept_reply *kept;
	struct kept_reply *next;

	for (kept = TAILQ_FIRST(&queue->replies); kept != NULL; kept = next) {
		next = TAILQ_NEXT(kept, link);
		if (queue->send(queue->arg, kept->to, kept->reply) == 0)
			remove_reply(queue, kept);
		else if (now_us >= kept->kept_since_us + KEEP_US)
			drop_reply(queue, kept);
	}
}
