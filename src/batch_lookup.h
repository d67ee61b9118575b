#pragma once

#include "batch_state.h"

/**
 * @file
 * Finds what a client's call is about. A job stays at the host and path where it was accepted,
 * whatever later configurations do with the queues there; a new job goes to the queue that the
 * latest configuration selects. Has no side effects.
 */

/** Length of the id of a job, which consists of hexadecimal digits. */
#define BATCH_JOB_ID_LENGTH 16

typedef struct {
	const batch_job_t *job; /**< accepted at this host and path; NULL: none */
	/** Selected by the latest configuration, and followed in the path by the id of a job or by
	 * nothing; NULL: none. With a job, it is the queue that the job was accepted in. */
	const Lp__BatchQueue *queue;
	const char *job_id; /**< points into the path; "": the call is about the queue itself */
} batch_lookup_t;

/**
 * @param host name of the host without a port; letter case is ignored
 * @param path of the call, without a query
 */
batch_lookup_t batch_lookup(const batch_state_t *state, const char *host, const char *path);
/**
 * True when the call needs no key of an organisation, whether or not the configuration has any. The
 * call must have found a job or a queue.
 */
bool batch_lookup_is_public(const batch_lookup_t *found);
