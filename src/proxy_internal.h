#pragma once

#include <pthread.h>

#include <glib.h>

#include "proxy.h"

/**
 * @file
 * Internal types and functions of the proxy: proxy.c, proxy_claim.c and proxy_message.c.
 */

#define HEADER_OUTCOME "Lavenderpass-Outcome"
#define HEADER_REQUEST_ID "Lavenderpass-Request-Id"
#define HEADER_EPOCH "Lavenderpass-Epoch"
#define HEADER_FORWARDED "Lavenderpass-Forwarded"
#define HEADER_TEAM "Lavenderpass-Team"
#define HEADER_DEADLINE_MS "Lavenderpass-Deadline-Ms"
#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"

/**
 * Reference-counted access to the I/O thread's mailbox for results of the control thread. It
 * outlives the proxy while claim operations are in progress.
 */
typedef struct {
	pthread_mutex_t lock;
	mailbox_t *mailbox; /**< NULL once the proxy has stopped */
	unsigned references;
} proxy_mailbox_ref_t;

/** Parts of a request path /r/{organisation}/{service}/{path}; strings are owned. */
typedef struct {
	char *organisation;
	char *service;
	char *target_path;  /**< path at the target: as received, with the leading slash */
	char *decoded_path; /**< percent-decoded; the request class is chosen by its prefix */
} proxy_path_t;

typedef enum {
	PROXY_CLAIMING,	 /**< waits for the result of a claim */
	PROXY_QUEUED,	 /**< waits for a slot of a target */
	PROXY_SENT,	 /**< waits for the response to a call */
	PROXY_RECORDING, /**< waits until the claims replicas have recorded the outcome */
} proxy_request_state_t;

typedef struct proxy_request {
	route_ticket_t ticket; /* must be first: pointers to it are cast */
	GList queue_link;      /* in proxy_t.requests */
	proxy_t *proxy;
	http_request_t *http;
	proxy_path_t path;
	proxy_request_state_t state;
	http_call_t *call; /* in progress; NULL: none */
	char id[48];
	uint64_t started_us;
	uint64_t sent_us;  /* start of the latest attempt */
	uint64_t claim_id; /* valid when holds_claim is set */
	bool holds_claim; /* the claim was granted and is not yet released, abandoned or recorded */
	bool admitted;	  /* route_admit() was called; route_close_request() must follow */
	bool from_entry_process; /* was forwarded by another entry process */
	bool to_entry_process;	 /* is sent to an entry process instead of a target */
	bool may_have_run;	 /* the outcome of an earlier attempt is unknown */
	bool client_disconnected;
	unsigned budget_attempts; /* not used */
	const char *reason; /* of a reply that the proxy made itself; static string, or NULL */
	Lp__Outcome recorded_outcome; /* response to record and then to send; strings are owned */
	GArray *response_headers;     /* http_header_t, of the recorded response */
} proxy_request_t;

struct proxy {
	proxy_config_t config;
	proxy_mailbox_ref_t *mailbox_ref;
	GQueue requests;	/* proxy_request_t, in progress */
	uint64_t last_sequence; /* number in the latest request id */
	uint64_t id_prefix;	/* random; starts each request id */
	metrics_counter_t *mismatched_total;
	metrics_counter_t *attempts_total;
	metrics_counter_t *retries_total;
	metrics_counter_t *forwards_total;
	bool stopping; /* proxy_stop() was called */
};

/* --- proxy_message.c: paths and headers of requests and responses --- */

/**
 * Splits a request path that starts with /r/.
 * @param path cleared with proxy_path_clear()
 * @param reason set to a static string on failure
 * @return 0, or -1 when the path is malformed or ambiguous
 */
int proxy_path_parse(const char *raw, proxy_path_t *path, const char **reason);
void proxy_path_clear(proxy_path_t *path);
/**
 * Headers of the request to a target or another entry process.
 * @return array of http_header_t that owns its strings; freed by the caller
 */
GArray *proxy_outgoing_headers(proxy_request_t *request, uint64_t now_us);
/**
 * Headers of the response to the client: those of the received one without hop-by-hop headers.
 * @return array of http_header_t that owns its strings; freed by the caller
 */
GArray *proxy_response_headers(const http_call_result_t *result);
/**
 * Outcome of an attempt by the state of the call and the Lavenderpass-Outcome header.
 * @param to_entry_process the request was sent to another entry process instead of a target
 */
verdict_t proxy_attempt_outcome(const http_call_result_t *result, bool to_entry_process);

/* --- proxy_claim.c: claim operations, which run in the control thread --- */

proxy_mailbox_ref_t *proxy_mailbox_ref_create(mailbox_t *mailbox);
/** Stops posts to the mailbox and drops the proxy's reference. */
void proxy_mailbox_ref_close(proxy_mailbox_ref_t *ref);
/** Claims an idempotency key; the result is passed to proxy_on_claim_result(). */
void proxy_claim_acquire(proxy_request_t *request, const char *key);
/** Frees the key, as the request was certainly not run. Does nothing without a claim. */
void proxy_claim_release(proxy_request_t *request);
/** Keeps the key held, as the request may have run. Does nothing without a claim. */
void proxy_claim_abandon(proxy_request_t *request);
/** Records the response for the key, then has proxy_on_outcome_recorded() called. */
void proxy_claim_record_outcome(proxy_request_t *request);
/** @param outcome recorded response of CLAIMS_STORED, else NULL; valid during the call only */
void proxy_on_claim_result(proxy_request_t *request, claims_result_t result, uint64_t claim_id,
			   const Lp__Outcome *outcome);
void proxy_on_outcome_recorded(proxy_request_t *request);
