#include <string.h>

#include "clock.h"
#include "message.h"
#include "proxy_internal.h"

/* A claim operation. It runs in the control thread; its result is posted to the I/O thread. */
typedef struct {
	proxy_mailbox_ref_t *mailbox_ref;
	proxy_request_t *request;
	mailbox_t *control_mailbox;
	claims_t *claims;
	char *key;
	char *home_data_centre;
	uint64_t claim_id;
	claims_result_t result;
	/* Outcome to record, or the recorded outcome that the claim found; NULL: none. Owned by
	 * this struct. */
	Lp__Outcome *outcome;
} claim_op_t;

proxy_mailbox_ref_t *proxy_mailbox_ref_create(mailbox_t *mailbox)
{
	proxy_mailbox_ref_t *ref = g_new0(proxy_mailbox_ref_t, 1);

	pthread_mutex_init(&ref->lock, NULL);
	ref->mailbox = mailbox;
	ref->references = 1;
	return ref;
}

static void mailbox_ref_acquire(proxy_mailbox_ref_t *ref)
{
	pthread_mutex_lock(&ref->lock);
	ref->references++;
	pthread_mutex_unlock(&ref->lock);
}

static void mailbox_ref_release(proxy_mailbox_ref_t *ref)
{
	unsigned references_left;

	pthread_mutex_lock(&ref->lock);
	references_left = --ref->references;
	pthread_mutex_unlock(&ref->lock);
	if (references_left > 0)
		return;
	pthread_mutex_destroy(&ref->lock);
	g_free(ref);
}

void proxy_mailbox_ref_close(proxy_mailbox_ref_t *ref)
{
	pthread_mutex_lock(&ref->lock);
	ref->mailbox = NULL;
	pthread_mutex_unlock(&ref->lock);
	mailbox_ref_release(ref);
}

/* Posts fn(op) to the I/O thread. @return false, without posting, when the proxy has stopped */
static bool post_to_io_thread(claim_op_t *op, mailbox_fn fn)
{
	bool open;

	pthread_mutex_lock(&op->mailbox_ref->lock);
	open = op->mailbox_ref->mailbox != NULL;
	if (open)
		mailbox_post(op->mailbox_ref->mailbox, fn, op);
	pthread_mutex_unlock(&op->mailbox_ref->lock);
	return open;
}

static claim_op_t *op_create(proxy_request_t *request)
{
	const proxy_config_t *config = &request->proxy->config;
	claim_op_t *op = g_new0(claim_op_t, 1);

	*op = (claim_op_t){
		.mailbox_ref = request->proxy->mailbox_ref,
		.request = request,
		.control_mailbox = config->control_mailbox,
		.claims = config->claims,
		.claim_id = request->claim_id,
	};
	mailbox_ref_acquire(op->mailbox_ref);
	return op;
}

static void op_free(claim_op_t *op)
{
	if (op->outcome != NULL)
		lp__outcome__free_unpacked(op->outcome, NULL);
	mailbox_ref_release(op->mailbox_ref);
	g_free(op->key);
	g_free(op->home_data_centre);
	g_free(op);
}

/* --- acquire --- */

static void deliver_claim_result(void *arg)
{
	claim_op_t *op = arg;

	proxy_on_claim_result(op->request, op->result, op->claim_id, op->outcome);
	op_free(op);
}

static void on_acquired(void *arg, claims_result_t result, uint64_t claim_id,
			const Lp__Outcome *outcome)
{
	claim_op_t *op = arg;

	op->result = result;
	op->claim_id = claim_id;
	if (outcome != NULL)
		op->outcome = message_copy(&outcome->base);
	if (post_to_io_thread(op, deliver_claim_result))
		return;
	/* The proxy stopped before it sent the request, so the key can be claimed again. */
	if (result == CLAIMS_GRANTED)
		claims_release(op->claims, claim_id, clock_now_us());
	op_free(op);
}

static void acquire_in_control_thread(void *arg)
{
	claim_op_t *op = arg;

	claims_acquire(op->claims, op->key, op->home_data_centre, clock_now_us(), on_acquired, op);
}

void proxy_claim_acquire(proxy_request_t *request, const char *key)
{
	claim_op_t *op = op_create(request);
	const char *colon = strchr(key, ':');

	op->key = g_strjoin("/", request->path.organisation, request->path.service, key, NULL);
	op->home_data_centre = colon != NULL ? g_strndup(key, (gsize)(colon - key)) : g_strdup("");
	request->state = PROXY_CLAIMING;
	mailbox_post(op->control_mailbox, acquire_in_control_thread, op);
}

/* --- release, abandon --- */

static void release_in_control_thread(void *arg)
{
	claim_op_t *op = arg;

	claims_release(op->claims, op->claim_id, clock_now_us());
	op_free(op);
}

void proxy_claim_release(proxy_request_t *request)
{
	if (!request->holds_claim)
		return;
	request->holds_claim = false;
	mailbox_post(request->proxy->config.control_mailbox, release_in_control_thread,
		     op_create(request));
}

static void abandon_in_control_thread(void *arg)
{
	claim_op_t *op = arg;

	claims_abandon(op->claims, op->claim_id);
	op_free(op);
}

void proxy_claim_abandon(proxy_request_t *request)
{
	if (!request->holds_claim)
		return;
	request->holds_claim = false;
	mailbox_post(request->proxy->config.control_mailbox, abandon_in_control_thread,
		     op_create(request));
}

/* --- record --- */

static void deliver_outcome_recorded(void *arg)
{
	claim_op_t *op = arg;

	proxy_on_outcome_recorded(op->request);
	op_free(op);
}

static void on_outcome_recorded(void *arg)
{
	claim_op_t *op = arg;

	if (!post_to_io_thread(op, deliver_outcome_recorded))
		op_free(op);
}

static void record_in_control_thread(void *arg)
{
	claim_op_t *op = arg;

	claims_record_outcome(op->claims, op->claim_id, op->outcome, clock_now_us(),
			      on_outcome_recorded, op);
}

void proxy_claim_record_outcome(proxy_request_t *request)
{
	claim_op_t *op = op_create(request);

	op->outcome = message_copy(&request->recorded_outcome.base);
	request->holds_claim = false;
	request->state = PROXY_RECORDING;
	mailbox_post(op->control_mailbox, record_in_control_thread, op);
}
