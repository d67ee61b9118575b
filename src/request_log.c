#include "request_log.h"

#include <string.h>

#include <glib.h>

void request_log_init(request_log_t *log)
{
	*log = (request_log_t){.entries = g_new0(request_log_entry_t, REQUEST_LOG_ENTRIES)};
	pthread_mutex_init(&log->lock, NULL);
}

void request_log_finish(request_log_t *log)
{
	pthread_mutex_destroy(&log->lock);
	g_free(log->entries);
}

void request_log_add(request_log_t *log, const request_log_entry_t *entry)
{
	pthread_mutex_lock(&log->lock);
	log->entries[log->added_count++ % REQUEST_LOG_ENTRIES] = *entry;
	pthread_mutex_unlock(&log->lock);
}

bool request_log_find(request_log_t *log, const char *id, request_log_entry_t *entry)
{
	bool found = false;

	pthread_mutex_lock(&log->lock);
	/* Searches from the newest entry, because clients can send several requests with the same
	 * id. */
	for (uint64_t i = 0; i < MIN(log->added_count, REQUEST_LOG_ENTRIES) && !found; i++) {
		const request_log_entry_t *candidate =
			&log->entries[(log->added_count - 1 - i) % REQUEST_LOG_ENTRIES];

		found = strcmp(candidate->id, id) == 0;
		if (found)
			*entry = *candidate;
	}
	pthread_mutex_unlock(&log->lock);
	return found;
}
