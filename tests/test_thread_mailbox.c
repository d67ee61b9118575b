#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <tevent.h>

#include "mailbox.h"

#define SENDER_COUNT 4
#define MESSAGES_PER_SENDER 2000

static unsigned received_count;
static unsigned last_sequence[SENDER_COUNT];
static unsigned out_of_order_count;

typedef struct {
	mailbox_t *mailbox;
	unsigned index;
} sender_t;

static void on_message(void *arg)
{
	unsigned value = GPOINTER_TO_UINT(arg);
	unsigned sender = value % SENDER_COUNT;
	unsigned sequence = value / SENDER_COUNT;

	if (sequence != last_sequence[sender] + 1)
		out_of_order_count++;
	last_sequence[sender] = sequence;
	received_count++;
}

static void *send_messages(void *arg)
{
	const sender_t *sender = arg;

	for (unsigned sequence = 1; sequence <= MESSAGES_PER_SENDER; sequence++)
		mailbox_post(sender->mailbox, on_message,
			     GUINT_TO_POINTER(sequence * SENDER_COUNT + sender->index));
	return NULL;
}

/* Guards against lost wake-ups, and against messages of a thread that arrive out of order. */
static void test_all_messages_arrive_in_order(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	mailbox_t mailbox;
	sender_t senders[SENDER_COUNT];
	GThread *threads[SENDER_COUNT];

	assert_int_equal(mailbox_init(&mailbox, ev), 0);
	for (unsigned i = 0; i < SENDER_COUNT; i++) {
		senders[i] = (sender_t){.mailbox = &mailbox, .index = i};
		threads[i] = g_thread_new("sender", send_messages, &senders[i]);
	}
	while (received_count < SENDER_COUNT * MESSAGES_PER_SENDER)
		assert_int_equal(tevent_loop_once(ev), 0);
	for (unsigned i = 0; i < SENDER_COUNT; i++)
		g_thread_join(threads[i]);
	mailbox_finish(&mailbox);
	talloc_free(ev);
	assert_int_equal(out_of_order_count, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_messages_arrive_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
