#pragma once

#include <pthread.h>

#include <glib.h>

#include "proxy.h"

/**
 * @file
 * Data of the proxy, shared by proxy.c, proxy_claim.c and proxy_message.c.
 */

#define HEADER_OUTCOME "Lavenderpass-Outcome"
#define HEADER_REQUEST_ID "Lavenderpass-Request-Id"
#define HEADER_EPOCH "Lavenderpass-Epoch"
#define HEADER_FORWARDED "Lavenderpass-Forwarded"
#define HEADER_TEAM "Lavenderpass-Team"
#define HEADER_DEADLINE "Lavenderpass-Deadline-Ms"
#define HEADER_KEY "Idempotency-Key"

/**
 * Way back from the control thread. It outlives the proxy while claims are in progress, and tells
 * them that the proxy is gone.
 */
typedef struct {
	pthread_mutex_t lock;
	mailbox_t *mailbox; /**< NULL once the proxy is gone */
	unsigned references;
} proxy_link_t;

/** Parts of a path /r/{organisation}/{service}/{path}. */
typedef struct {
	char *organisation;
	char *service;
	char *path;    /**< as received, with the leading slash */
	char *decoded; /**< for the choice of the class */
} proxy_path_t;

typedef enum {
	PROXY_CLAIMING,	 /**< waits for the control thread */
	PROXY_QUEUED,	 /**< waits for a slot */
	PROXY_SENT,	 /**< a call is in progress */
	PROXY_RECORDING, /**< waits until the outcome is recorded */
} proxy_step_t;

typedef struct proxy_request {
	route_ticket_t ticket; /* first, so that a ticket is its request */
	GList link;	       /* in the proxy's queue */
	proxy_t *proxy;
	http_request_t *http;
	proxy_path_t path;
	proxy_step_t step;
	http_call_t *call;
	char id[48];
	uint64_t started_us;
	uint64_t sent_us;
	uint64_t claim;
	bool claimed;	   /* the claim is granted and neither released nor finished */
	bool admitted;	   /* route_close() is due */
	bool forwarded;	   /* received from another entry process */
	bool forwarding;   /* being sent to another entry process */
	bool may_have_run; /* an earlier attempt ended as unknown */
	bool client_gone;
	unsigned budget_attempts;
	const char *reason; /* of an answer that is not a target's; a literal */
	Lp__Outcome answer; /* to be recorded and answered; strings owned */
	GArray *answer_headers;
} proxy_request_t;

struct proxy {
	proxy_config_t config;
	proxy_link_t *link;
	GQueue requests; /* proxy_request_t */
	uint64_t sequence;
	uint64_t id_base;
	metrics_counter_t *mismatched;
	metrics_counter_t *attempts;
	metrics_counter_t *retries;
	metrics_counter_t *forwards;
	bool stopping;
};

/* --- proxy_message.c: text of requests and answers --- */

/** @return 0, or -1 with a reason when the path is malformed */
int proxy_path_parse(const char *raw, proxy_path_t *path, const char **reason);
void proxy_path_clear(proxy_path_t *path);
/** Headers for a target or another entry process: http_header_t, strings owned. */
GArray *proxy_request_headers(proxy_request_t *request, uint64_t now_us);
/** Copies the headers of an answer that are passed on. */
GArray *proxy_answer_headers(const http_call_result_t *result);
/** The verdict on an attempt by the answer's facts and headers. */
verdict_t proxy_attempt_verdict(const http_call_result_t *result, bool forwarding);

/* --- proxy_claim.c: claims by way of the control thread --- */

proxy_link_t *proxy_link_create(mailbox_t *mailbox);
/** Ends the posts to the mailbox. */
void proxy_link_close(proxy_link_t *link);
/** Ends in proxy_on_claim(). */
void proxy_claim_acquire(proxy_request_t *request, const char *key);
void proxy_claim_release(proxy_request_t *request);
void proxy_claim_abandon(proxy_request_t *request);
/** Ends in proxy_on_recorded(). */
void proxy_claim_record(proxy_request_t *request);
/** @param outcome of CLAIMS_STORED, valid during the call */
void proxy_on_claim(proxy_request_t *request, claims_result_t result, uint64_t claim,
		    const Lp__Outcome *outcome);
void proxy_on_recorded(proxy_request_t *request);
