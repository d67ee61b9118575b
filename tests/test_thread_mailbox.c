#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <tevent.h>

#include "mailbox.h"

#define SENDERS 4
#define MESSAGES 2000

static unsigned received;
static unsigned last_seen[SENDERS];
static unsigned out_of_order;

typedef struct {
	mailbox_t *mailbox;
	unsigned sender;
} sender_t;

static void on_message(void *arg)
{
	unsigned value = GPOINTER_TO_UINT(arg);
	unsigned sender = value % SENDERS;
	unsigned seq = value / SENDERS;

	if (seq != last_seen[sender] + 1)
		out_of_order++;
	last_seen[sender] = seq;
	received++;
}

static void *send_messages(void *arg)
{
	const sender_t *sender = arg;

	for (unsigned seq = 1; seq <= MESSAGES; seq++)
		mailbox_post(sender->mailbox, on_message,
			     GUINT_TO_POINTER(seq * SENDERS + sender->sender));
	return NULL;
}

/* Guards against lost wake-ups and reordering between threads. */
static void test_all_messages_arrive_in_order(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	mailbox_t mailbox;
	sender_t senders[SENDERS];
	GThread *threads[SENDERS];

	assert_int_equal(mailbox_init(&mailbox, ev), 0);
	for (unsigned i = 0; i < SENDERS; i++) {
		senders[i] = (sender_t){.mailbox = &mailbox, .sender = i};
		threads[i] = g_thread_new("sender", send_messages, &senders[i]);
	}
	while (received < SENDERS * MESSAGES)
		assert_int_equal(tevent_loop_once(ev), 0);
	for (unsigned i = 0; i < SENDERS; i++)
		g_thread_join(threads[i]);
	mailbox_finish(&mailbox);
	talloc_free(ev);
	assert_int_equal(out_of_order, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_messages_arrive_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
