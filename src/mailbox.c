#include "mailbox.h"

#include <errno.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <glib.h>
#include <tevent.h>

typedef struct mailbox_message {
	STAILQ_ENTRY(mailbox_message) link;
	mailbox_fn fn;
	void *arg;
} mailbox_message_t;

static mailbox_message_t *pop_message(mailbox_t *mailbox)
{
	mailbox_message_t *message;

	pthread_mutex_lock(&mailbox->lock);
	message = STAILQ_FIRST(&mailbox->queue);
	if (message != NULL)
		STAILQ_REMOVE_HEAD(&mailbox->queue, link);
	pthread_mutex_unlock(&mailbox->lock);
	return message;
}

static void run_queued_messages(mailbox_t *mailbox)
{
	mailbox_message_t *message;

	while ((message = pop_message(mailbox)) != NULL) {
		message->fn(message->arg);
		g_free(message);
	}
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			void *private_data)
{
	mailbox_t *mailbox = private_data;
	uint64_t count;

	/* The descriptor is reset before the queue is read, so that a later post makes it readable
	 * again. */
	while (read(mailbox->event_fd, &count, sizeof(count)) < 0 && errno == EINTR)
		;
	run_queued_messages(mailbox);
}

int mailbox_init(mailbox_t *mailbox, struct tevent_context *ev)
{
	*mailbox = (mailbox_t){.event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
	if (mailbox->event_fd < 0)
		return -1;
	pthread_mutex_init(&mailbox->lock, NULL);
	STAILQ_INIT(&mailbox->queue);
	mailbox->watch =
		tevent_add_fd(ev, ev, mailbox->event_fd, TEVENT_FD_READ, on_readable, mailbox);
	if (mailbox->watch == NULL) {
		pthread_mutex_destroy(&mailbox->lock);
		close(mailbox->event_fd);
		errno = ENOMEM;
		return -1;
	}
	return 0;
}

void mailbox_finish(mailbox_t *mailbox)
{
	run_queued_messages(mailbox);
	TALLOC_FREE(mailbox->watch);
	pthread_mutex_destroy(&mailbox->lock);
	close(mailbox->event_fd);
}

void mailbox_post(mailbox_t *mailbox, mailbox_fn fn, void *arg)
{
	mailbox_message_t *message = g_new(mailbox_message_t, 1);
	uint64_t increment = 1;

	*message = (mailbox_message_t){.fn = fn, .arg = arg};
	pthread_mutex_lock(&mailbox->lock);
	STAILQ_INSERT_TAIL(&mailbox->queue, message, link);
	pthread_mutex_unlock(&mailbox->lock);
	while (write(mailbox->event_fd, &increment, sizeof(increment)) < 0 && errno == EINTR)
		;
}
