#pragma once

#include <pthread.h>
#include <sys/queue.h>

struct tevent_context;
struct tevent_fd;

/**
 * @file
 * Mailbox: queue of function calls from any thread to the thread that runs an event context.
 */

/** Function of a message; runs in the receiving thread. */
typedef void (*mailbox_fn)(void *arg);

struct mailbox_message;

/* A mailbox. Uses a pthread mutex, because the thread sanitizer does not see the locks inside
 * GLib's queues. */
typedef struct {
	pthread_mutex_t lock;
	STAILQ_HEAD(mailbox_queue, mailbox_message) queue;
	int event_fd; /**< event descriptor, readable while messages are queued */
	struct tevent_fd *watch;
} mailbox_t;

/** Initialises a mailbox whose messages run in the thread of ev. @return 0, or -1 with errno set */
int mailbox_init(mailbox_t *mailbox, struct tevent_context *ev);
/**
 * Runs the queued messages, then frees the mailbox's resources. From this call on, no thread may
 * post to the mailbox.
 */
void mailbox_finish(mailbox_t *mailbox);

/**
 * Posts a message: fn(arg) is called in the receiving thread. Messages of one sending thread run in
 * the order in which they were posted. fn becomes the owner of arg, which must not belong to a
 * talloc context of the sending thread.
 */
void mailbox_post(mailbox_t *mailbox, mailbox_fn fn, void *arg);
