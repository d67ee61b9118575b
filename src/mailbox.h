#pragma once

#include <pthread.h>
#include <sys/queue.h>

struct tevent_context;
struct tevent_fd;

/**
 * @file
 * Messages from any thread to the thread that runs an event context.
 */

/** Runs in the receiving thread. */
typedef void (*mailbox_fn)(void *arg);

struct mailbox_message;

/* Locked by pthread: the thread sanitizer does not see the locks inside GLib's queues. */
typedef struct {
	pthread_mutex_t lock;
	STAILQ_HEAD(mailbox_queue, mailbox_message) queue;
	int event_fd;
	struct tevent_fd *watch;
} mailbox_t;

/** @return 0, or -1 with errno set. */
int mailbox_init(mailbox_t *mailbox, struct tevent_context *ev);
/** Runs what is still queued, then frees. No thread may post any more. */
void mailbox_finish(mailbox_t *mailbox);

/**
 * Has fn(arg) run in the receiving thread. Posts from one thread keep their order. arg is handed
 * over; it must not belong to a talloc context of the sending thread.
 */
void mailbox_post(mailbox_t *mailbox, mailbox_fn fn, void *arg);
