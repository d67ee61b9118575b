#include "batch_lookup.h"

#include <string.h>

static bool is_job_id(const char *text)
{
	size_t length = strspn(text, "0123456789abcdefABCDEF");

	return length == BATCH_JOB_ID_LENGTH && text[length] == '\0';
}

/* @return the end of the path if it is the id of a job, else the empty string */
static const char *find_job_id(const char *path)
{
	size_t length = strlen(path);
	const char *end = path + length;

	return length >= BATCH_JOB_ID_LENGTH && is_job_id(end - BATCH_JOB_ID_LENGTH)
		       ? end - BATCH_JOB_ID_LENGTH
		       : end;
}

/* @return the accepted job with the id, if it was accepted at the host and path, else NULL */
static const batch_job_t *find_job(const batch_state_t *state, const char *host, const char *path,
				   const char *job_id)
{
	const batch_job_t *job = job_id[0] != '\0' ? batch_state_job(state, job_id) : NULL;
	size_t prefix_length = (size_t)(job_id - path);

	if (job == NULL || strlen(job->spec->prefix) != prefix_length ||
	    strncmp(job->spec->prefix, path, prefix_length) != 0 ||
	    g_ascii_strcasecmp(job->spec->host, host) != 0)
		return NULL;
	return job;
}

batch_lookup_t batch_lookup(const batch_state_t *state, const char *host, const char *path)
{
	batch_lookup_t found = {
		.queue = batch_state_match_queue(state, host, path),
		.job_id = find_job_id(path),
	};
	const char *rest;

	found.job = find_job(state, host, path, found.job_id);
	if (found.queue == NULL)
		return found;
	/* What follows the prefix is something else if the path belongs to a queue that was
	 * removed, below this one. */
	rest = path + strlen(found.queue->prefix);
	if (rest[0] == '\0')
		return (batch_lookup_t){.queue = found.queue, .job_id = rest};
	if (rest != found.job_id)
		found.queue = NULL;
	return found;
}

bool batch_lookup_is_public(const batch_lookup_t *found)
{
	if (found->queue != NULL)
		return found->queue->is_public;
	/* The queue was removed; its settings are those with which the job was accepted. An
	 * archived job has none any more, but a job of a public queue has no organisation. */
	if (found->job->queue != NULL)
		return found->job->queue->is_public;
	return found->job->spec->organisation[0] == '\0';
}
