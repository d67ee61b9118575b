#pragma once

#include <pthread.h>

#include <glib.h>

#include "proxy.h"

/**
 * @file
 * Internal types and functions of the proxy, shared by proxy.c, proxy_claim.c and proxy_message.c.
 */

#define HEADER_OUTCOME "Lavenderpass-Outcome"
#define HEADER_REQUEST_ID "Lavenderpass-Request-Id"
#define HEADER_EPOCH "Lavenderpass-Epoch"
#define HEADER_FORWARDED "Lavenderpass-Forwarded"
#define HEADER_TEAM "Lavenderpass-Team"
#define HEADER_DEADLINE_MS "Lavenderpass-Deadline-Ms"
#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"

/**
 * Reference-counted pointer to the I/O thread's mailbox, through which the control thread posts
 * results. It outlives the proxy while claim operations are in progress.
 */
typedef struct {
	pthread_mutex_t lock;
	mailbox_t *mailbox; /**< the I/O thread's mailbox; NULL once the proxy has stopped */
	unsigned references;
} proxy_mailbox_ref_t;

/**
 * Parts of a request path /r/{organisation}/{service}/{path}. The strings are owned by this struct.
 */
typedef struct {
	char *organisation;
	char *service;
	/** Path to request from the target, as received, with the leading slash. */
	char *target_path;
	/** Percent-decoded target_path, whose prefix determines the request class. */
	char *decoded_path;
} proxy_path_t;

typedef enum {
	PROXY_CLAIMING, /**< the request waits for the result of its claim */
	PROXY_QUEUED,	/**< the request waits for a slot of a target */
	PROXY_SENT,	/**< the request was sent and waits for the response */
	/** The reply waits until the claims replicas have recorded the outcome. */
	PROXY_RECORDING,
} proxy_request_state_t;

typedef struct proxy_request {
	/* Must be the first member: pointers to it are cast to proxy_request_t. */
	route_ticket_t ticket;
	GList queue_link; /* link in proxy_t.requests */
	proxy_t *proxy;
	http_request_t *http;
	proxy_path_t path;
	proxy_request_state_t state;
	http_call_t *call; /* HTTP call in progress for the latest attempt; NULL: none */
	char id[48];
	uint64_t started_us;
	uint64_t sent_us;  /* start time of the latest attempt */
	uint64_t claim_id; /* id of the claim; valid while holds_claim is set */
	bool holds_claim;  /* a claim was granted and not yet released, abandoned or recorded */
	bool admitted;	   /* route_admit() was called; route_close_request() must follow */
	bool from_entry_process; /* the request was forwarded by another entry process */
	/* The request is sent to another entry process instead of a target. */
	bool to_entry_process;
	/* An earlier attempt may have run the request: its outcome is unknown. */
	bool may_have_run;
	bool client_disconnected;
	unsigned budget_attempts; /* not used */
	/* Why the proxy itself answered the request (static string); NULL when a target did. */
	const char *reason;
	Lp__Outcome recorded_outcome; /* response to record and then to send; owns its strings */
	GArray *response_headers; /* elements: http_header_t, headers of the recorded response */
} proxy_request_t;

struct proxy {
	proxy_config_t config;
	proxy_mailbox_ref_t *mailbox_ref;
	GQueue requests;	/* elements: proxy_request_t, the requests in progress */
	uint64_t last_sequence; /* sequence number in the latest request id */
	uint64_t id_prefix;	/* random number with which each request id starts */
	metrics_counter_t *mismatched_total;
	metrics_counter_t *attempts_total;
	metrics_counter_t *retries_total;
	metrics_counter_t *forwards_total;
	bool stopping; /* proxy_stop() was called */
};

/* --- proxy_message.c: paths and headers of requests and responses --- */

/**
 * Splits a request path that starts with /r/ into its parts.
 * @param path filled on success; free with proxy_path_clear()
 * @param reason set to a static string on failure
 * @return 0, or -1 when the path is malformed or ambiguous
 */
int proxy_path_parse(const char *raw, proxy_path_t *path, const char **reason);
void proxy_path_clear(proxy_path_t *path);
/**
 * Returns the headers of the request to a target or another entry process.
 * @return array of http_header_t that owns its strings, to be freed by the caller
 */
GArray *proxy_outgoing_headers(proxy_request_t *request, uint64_t now_us);
/**
 * Returns the headers of the response to the client: those received, without hop-by-hop headers.
 * @return array of http_header_t that owns its strings, to be freed by the caller
 */
GArray *proxy_response_headers(const http_call_result_t *result);
/**
 * Derives the outcome of an attempt from the state of the call and from the Lavenderpass-Outcome
 * header of the response.
 * @param to_entry_process the request was sent to another entry process instead of a target
 */
verdict_t proxy_attempt_outcome(const http_call_result_t *result, bool to_entry_process);

/* --- proxy_claim.c: claim operations, which run in the control thread --- */

proxy_mailbox_ref_t *proxy_mailbox_ref_create(mailbox_t *mailbox);
/** Prevents further posts to the mailbox and releases the proxy's reference. */
void proxy_mailbox_ref_close(proxy_mailbox_ref_t *ref);
/** Claims an idempotency key; the result is passed to proxy_on_claim_result(). */
void proxy_claim_acquire(proxy_request_t *request, const char *key);
/** Releases the key, because the request was certainly not run. Does nothing without a claim. */
void proxy_claim_release(proxy_request_t *request);
/** Keeps the key held, because the request may have run. Does nothing without a claim. */
void proxy_claim_abandon(proxy_request_t *request);
/** Records the response under the idempotency key, then has proxy_on_outcome_recorded() called. */
void proxy_claim_record_outcome(proxy_request_t *request);
/**
 * Receives the result of proxy_claim_acquire().
 * @param outcome the response recorded earlier if result is CLAIMS_STORED, else NULL; valid only
 * during the call
 */
void proxy_on_claim_result(proxy_request_t *request, claims_result_t result, uint64_t claim_id,
			   const Lp__Outcome *outcome);
void proxy_on_outcome_recorded(proxy_request_t *request);
