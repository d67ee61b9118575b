#include <string.h>

#include "clock.h"
#include "message.h"
#include "proxy_internal.h"

/* One exchange with the control thread. */
typedef struct {
	proxy_link_t *link;
	proxy_request_t *request;
	mailbox_t *control;
	claims_t *claims;
	char *key;
	char *home;
	uint64_t claim;
	claims_result_t result;
	Lp__Outcome *outcome; /* copy */
} claim_op_t;

proxy_link_t *proxy_link_create(mailbox_t *mailbox)
{
	proxy_link_t *link = g_new0(proxy_link_t, 1);

	pthread_mutex_init(&link->lock, NULL);
	link->mailbox = mailbox;
	link->references = 1;
	return link;
}

static void link_ref(proxy_link_t *link)
{
	pthread_mutex_lock(&link->lock);
	link->references++;
	pthread_mutex_unlock(&link->lock);
}

static void link_unref(proxy_link_t *link)
{
	unsigned left;

	pthread_mutex_lock(&link->lock);
	left = --link->references;
	pthread_mutex_unlock(&link->lock);
	if (left > 0)
		return;
	pthread_mutex_destroy(&link->lock);
	g_free(link);
}

void proxy_link_close(proxy_link_t *link)
{
	pthread_mutex_lock(&link->lock);
	link->mailbox = NULL;
	pthread_mutex_unlock(&link->lock);
	link_unref(link);
}

/* @return false when the proxy is gone */
static bool post_back(claim_op_t *op, mailbox_fn fn)
{
	bool open;

	pthread_mutex_lock(&op->link->lock);
	open = op->link->mailbox != NULL;
	if (open)
		mailbox_post(op->link->mailbox, fn, op);
	pthread_mutex_unlock(&op->link->lock);
	return open;
}

static claim_op_t *op_create(proxy_request_t *request)
{
	const proxy_config_t *config = &request->proxy->config;
	claim_op_t *op = g_new0(claim_op_t, 1);

	*op = (claim_op_t){
		.link = request->proxy->link,
		.request = request,
		.control = config->control,
		.claims = config->claims,
		.claim = request->claim,
	};
	link_ref(op->link);
	return op;
}

static void op_free(claim_op_t *op)
{
	if (op->outcome != NULL)
		lp__outcome__free_unpacked(op->outcome, NULL);
	link_unref(op->link);
	g_free(op->key);
	g_free(op->home);
	g_free(op);
}

/* --- acquire --- */

static void deliver_claim(void *arg)
{
	claim_op_t *op = arg;

	proxy_on_claim(op->request, op->result, op->claim, op->outcome);
	op_free(op);
}

static void on_acquired(void *arg, claims_result_t result, uint64_t claim,
			const Lp__Outcome *outcome)
{
	claim_op_t *op = arg;

	op->result = result;
	op->claim = claim;
	if (outcome != NULL)
		op->outcome = message_copy(&outcome->base);
	if (post_back(op, deliver_claim))
		return;
	/* The I/O thread has ended: the request was not sent. */
	if (result == CLAIMS_GRANTED)
		claims_release(op->claims, claim, clock_now_us());
	op_free(op);
}

static void control_acquire(void *arg)
{
	claim_op_t *op = arg;

	claims_acquire(op->claims, op->key, op->home, clock_now_us(), on_acquired, op);
}

void proxy_claim_acquire(proxy_request_t *request, const char *key)
{
	claim_op_t *op = op_create(request);
	const char *colon = strchr(key, ':');

	op->key = g_strjoin("/", request->path.organisation, request->path.service, key, NULL);
	op->home = colon != NULL ? g_strndup(key, (gsize)(colon - key)) : g_strdup("");
	request->step = PROXY_CLAIMING;
	mailbox_post(op->control, control_acquire, op);
}

/* --- release, abandon --- */

static void control_release(void *arg)
{
	claim_op_t *op = arg;

	claims_release(op->claims, op->claim, clock_now_us());
	op_free(op);
}

void proxy_claim_release(proxy_request_t *request)
{
	if (!request->claimed)
		return;
	request->claimed = false;
	mailbox_post(request->proxy->config.control, control_release, op_create(request));
}

static void control_abandon(void *arg)
{
	claim_op_t *op = arg;

	claims_abandon(op->claims, op->claim);
	op_free(op);
}

void proxy_claim_abandon(proxy_request_t *request)
{
	if (!request->claimed)
		return;
	request->claimed = false;
	mailbox_post(request->proxy->config.control, control_abandon, op_create(request));
}

/* --- record --- */

static void deliver_recorded(void *arg)
{
	claim_op_t *op = arg;

	proxy_on_recorded(op->request);
	op_free(op);
}

static void on_recorded(void *arg)
{
	claim_op_t *op = arg;

	if (!post_back(op, deliver_recorded))
		op_free(op);
}

static void control_record(void *arg)
{
	claim_op_t *op = arg;

	claims_finish_run(op->claims, op->claim, op->outcome, clock_now_us(), on_recorded, op);
}

void proxy_claim_record(proxy_request_t *request)
{
	claim_op_t *op = op_create(request);

	op->outcome = message_copy(&request->answer.base);
	request->claimed = false;
	request->step = PROXY_RECORDING;
	mailbox_post(op->control, control_record, op);
}
