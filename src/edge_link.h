#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "metrics.h"
#include "peer.h"
#include "process.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * Connection of an edge process to the leader: finds the leader, forwards clients' calls to it, and
 * times them out. Calls are idempotent by the job id. A call is sent again only when its earlier
 * copy or the reply is possibly lost: the connection to the leader broke, the leader changed, or
 * the process has replied that it does not lead. A slow reply is waited for, because a copy would
 * add to the load of a leader that is behind. Single-threaded.
 */

struct tevent_context;

typedef struct {
	const process_settings_t *settings;
	struct tevent_context *ev;
	timer_service_t *timers;
	metrics_t *metrics;
	vm_port_t port; /**< sends the VM requests that the leader forwards */
} edge_link_options_t;

struct edge_link;
typedef struct edge_link edge_link_t;

/**
 * Creates the link.
 * @return the link, to be freed with edge_link_destroy(), or NULL with a message in error
 */
edge_link_t *edge_link_create(const edge_link_options_t *options, char *error, size_t error_size);
/** Completes the open calls, with the answer UNAVAILABLE if they had no effect, else UNKNOWN, and
 * frees the link. */
void edge_link_destroy(edge_link_t *link);
/** Completes new calls at once, with the answer UNAVAILABLE. Called before the process ends. */
void edge_link_refuse_calls(edge_link_t *link);
/** Completes the open calls, like edge_link_destroy(). */
void edge_link_finish_calls(edge_link_t *link);
/** Connects to the seeds in settings, in addition to the known peers. */
void edge_link_set_seeds(edge_link_t *link, const process_settings_t *settings);

/** True while an active leader is known, that is, while its LeaderHint messages arrive. */
bool edge_link_has_leader(const edge_link_t *link);
/** Returns the number of calls that have no reply yet. */
unsigned edge_link_open_calls(const edge_link_t *link);

/**
 * Receives the reply to a call.
 * @param reply its answer is UNAVAILABLE or REFUSED when the call certainly had no effect, UNKNOWN
 * when it was possibly carried out; reason then says why
 */
typedef void (*edge_reply_fn)(void *arg, const Lp__BatchReply *reply);
/**
 * Forwards a call to the leader. When no leader is known, done gets the answer UNAVAILABLE at once.
 * A call whose reply is lost is sent to the next leader.
 * @param message the call, which is copied
 * @param timeout_ms time after which done gets the answer UNKNOWN, or UNAVAILABLE when no leader
 * has taken the call
 */
void edge_link_call(edge_link_t *link, const Lp__BatchCall *message, uint32_t timeout_ms,
		    edge_reply_fn done, void *arg);
