#include <string.h>

#include <talloc.h>

#include "raft_internal.h"

static const Lp__LogEntry *entry_at(const raft_t *raft, uint64_t index)
{
	if (index <= raft->base_index || index > raft->base_index + raft->entry_count)
		return NULL;
	return raft->entries[index - raft->base_index - 1];
}

const Lp__LogEntry *raft_entry(const raft_t *raft, uint64_t index)
{
	return entry_at(raft, index);
}

uint64_t raft_first_index(const raft_t *raft)
{
	return raft->base_index + 1;
}

uint64_t raft_last_index(const raft_t *raft)
{
	return raft->base_index + raft->entry_count;
}

bool raft_log_term(const raft_t *raft, uint64_t index, uint64_t *term)
{
	const Lp__LogEntry *entry = entry_at(raft, index);

	if (entry != NULL)
		*term = entry->term;
	else if (index == raft->base_index)
		*term = raft->base_term;
	else
		return false;
	return true;
}

raft_config_t raft_log_config_at(const raft_t *raft, uint64_t index)
{
	raft_config_t config;

	for (uint64_t i = index; i > raft->base_index; i--) {
		const Lp__LogEntry *entry = entry_at(raft, i);

		if (entry != NULL && entry->type == LP__ENTRY_TYPE__ENTRY_CONFIG &&
		    raft_config_unpack(&config, entry->data.data, entry->data.len) == 0)
			return config;
	}
	return raft->base_config;
}

/* Sets config to the latest configuration that the truncated log holds. */
static void recompute_config(raft_t *raft)
{
	raft->config = raft_log_config_at(raft, raft_last_index(raft));
	raft->config_index = raft->base_index;
	for (uint64_t i = raft_last_index(raft); i > raft->base_index; i--) {
		if (entry_at(raft, i)->type == LP__ENTRY_TYPE__ENTRY_CONFIG) {
			raft->config_index = i;
			break;
		}
	}
}

void raft_log_append(raft_t *raft, const Lp__LogEntry *entry)
{
	Lp__LogEntry *copy;
	raft_config_t config;

	if (raft->entry_count == raft->entry_capacity) {
		raft->entry_capacity = raft->entry_capacity == 0 ? 64 : raft->entry_capacity * 2;
		raft->entries =
			talloc_realloc(raft, raft->entries, Lp__LogEntry *, raft->entry_capacity);
	}
	copy = talloc(raft, Lp__LogEntry);
	lp__log_entry__init(copy);
	copy->index = entry->index;
	copy->term = entry->term;
	copy->type = entry->type;
	copy->data.len = entry->data.len;
	if (entry->data.len > 0)
		copy->data.data = talloc_memdup(copy, entry->data.data, entry->data.len);
	raft->entries[raft->entry_count++] = copy;
	if (entry->type == LP__ENTRY_TYPE__ENTRY_CONFIG &&
	    raft_config_unpack(&config, entry->data.data, entry->data.len) == 0) {
		raft->config = config;
		raft->config_index = entry->index;
	}
}

void raft_log_truncate(raft_t *raft, uint64_t from)
{
	bool config_truncated = raft->config_index >= from;

	while (raft->entry_count > 0 && raft_last_index(raft) >= from)
		talloc_free(raft->entries[--raft->entry_count]);
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
	if (config_truncated)
		recompute_config(raft);
}

void raft_log_compact(raft_t *raft, uint64_t index)
{
	size_t drop_count;

	if (index <= raft->base_index || index > raft_last_index(raft))
		return;
	raft->base_config = raft_log_config_at(raft, index);
	raft_log_term(raft, index, &raft->base_term);
	drop_count = index - raft->base_index;
	for (size_t i = 0; i < drop_count; i++)
		talloc_free(raft->entries[i]);
	raft->entry_count -= drop_count;
	memmove(raft->entries, raft->entries + drop_count,
		raft->entry_count * sizeof(*raft->entries));
	raft->base_index = index;
}

void raft_log_reset(raft_t *raft, const raft_snapshot_t *snapshot)
{
	for (size_t i = 0; i < raft->entry_count; i++)
		talloc_free(raft->entries[i]);
	raft->entry_count = 0;
	raft->base_index = snapshot->index;
	raft->base_term = snapshot->term;
	raft->base_config = snapshot->config;
	raft->config = snapshot->config;
	raft->config_index = snapshot->index;
	raft->synced_index = snapshot->index;
}

void raft_snapshot_copy(raft_t *raft, raft_snapshot_t *to, const raft_snapshot_t *from)
{
	uint8_t *data = from->length == 0 ? NULL : talloc_memdup(raft, from->data, from->length);

	talloc_free(to->data);
	*to = *from;
	to->data = data;
}

void raft_restore_base(raft_t *raft, uint64_t index, uint64_t term, const raft_config_t *config)
{
	const raft_snapshot_t base = {.index = index, .term = term, .config = *config};

	raft_log_reset(raft, &base);
}

void raft_restore_snapshot(raft_t *raft, const raft_snapshot_t *snapshot)
{
	uint64_t term;

	raft_snapshot_copy(raft, &raft->snapshot, snapshot);
	if (!raft_log_term(raft, snapshot->index, &term) || term != snapshot->term)
		raft_log_reset(raft, snapshot);
	raft->commit_index = snapshot->index;
	raft->applied_index = snapshot->index;
}

int raft_restore_entry(raft_t *raft, const Lp__LogEntry *entry)
{
	if (entry->index <= raft->base_index)
		return 0;
	if (entry->index > raft_last_index(raft) + 1)
		return -1;
	if (entry->index <= raft_last_index(raft))
		raft_log_truncate(raft, entry->index);
	raft_log_append(raft, entry);
	raft->synced_index = entry->index;
	return 0;
}

void raft_compact(raft_t *raft, uint64_t index, const uint8_t *data, size_t length,
		  uint64_t keep_entries)
{
	raft_snapshot_t snapshot = {
		.index = index,
		.config = raft_log_config_at(raft, index),
		.data = (uint8_t *)data,
		.length = length,
	};

	if (index > raft->commit_index || !raft_log_term(raft, index, &snapshot.term))
		return;
	raft_snapshot_copy(raft, &raft->snapshot, &snapshot);
	if (index > keep_entries)
		raft_log_compact(raft, index - keep_entries);
}

const raft_snapshot_t *raft_snapshot(const raft_t *raft)
{
	return &raft->snapshot;
}
