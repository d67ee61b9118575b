#pragma once

#include <pthread.h>
#include <sys/queue.h>

struct tevent_context;
struct tevent_fd;

/**
 * @file
 * Queue of function calls from any thread to the thread that runs an event context.
 */

/** Runs in the receiving thread. */
typedef void (*mailbox_fn)(void *arg);

struct mailbox_message;

/* Uses a pthread mutex, as the thread sanitizer does not see the locks inside GLib's queues. */
typedef struct {
	pthread_mutex_t lock;
	STAILQ_HEAD(mailbox_queue, mailbox_message) queue;
	int event_fd; /**< readable while messages may be queued */
	struct tevent_fd *watch;
} mailbox_t;

/** @return 0, or -1 with errno set. */
int mailbox_init(mailbox_t *mailbox, struct tevent_context *ev);
/** Runs the queued messages, then frees the mailbox's resources. No thread may post any more. */
void mailbox_finish(mailbox_t *mailbox);

/**
 * Has fn(arg) called in the receiving thread, in the order of posts from each thread. Ownership of
 * arg passes to fn; it must not belong to a talloc context of the sending thread.
 */
void mailbox_post(mailbox_t *mailbox, mailbox_fn fn, void *arg);
