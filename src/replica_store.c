#define G_LOG_DOMAIN "replica"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include <glib.h>
#include <talloc.h>

#include "durable.h"
#include "raft_internal.h"
#include "replica_internal.h"
#include "snapshot.h"

#define FRAME_TYPE_IDENTITY 1
#define FOUNDING_REPLICA_ID 1
/* Mask of random replica ids. With 48 bits, they take 7 bytes in a message and are practically
 * unique. */
#define REPLICA_ID_MASK ((1ULL << 48) - 1)

static void append_message(wal_t *wal, wal_type_t type, const ProtobufCMessage *message)
{
	size_t length = protobuf_c_message_get_packed_size(message);
	uint8_t *packed = talloc_array(wal, uint8_t, length + 1);

	protobuf_c_message_pack(message, packed);
	wal_append(wal, type, packed, length);
	talloc_free(packed);
}

static void append_base(wal_t *wal, uint64_t index, uint64_t term, const raft_config_t *config)
{
	Lp__SnapshotChunk base = LP__SNAPSHOT_CHUNK__INIT;

	base.last_index = index;
	base.last_term = term;
	base.config = raft_config_to_message(wal, config);
	append_message(wal, WAL_BASE, &base.base);
	talloc_free(base.config);
}

/* Appends a vote to the log file, as the VoteRequest message that was granted. */
static void append_vote(wal_t *wal, uint64_t term, raft_id_t vote)
{
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__VoteRequest request = LP__VOTE_REQUEST__INIT;
	Lp__ReplicaId from = LP__REPLICA_ID__INIT;

	from.node_id = vote.node;
	from.replica_id = vote.replica;
	request.term = term;
	message.from = &from;
	message.body_case = LP__RAFT_MESSAGE__BODY_VOTE;
	message.vote = &request;
	append_message(wal, WAL_VOTE, &message.base);
}

void replica_store_append_vote(replica_t *replica, uint64_t term, raft_id_t vote)
{
	if (replica->wal != NULL && !replica->disk_failed)
		append_vote(replica->wal, term, vote);
}

void replica_store_append_entry(replica_t *replica, const Lp__LogEntry *entry)
{
	if (replica->wal != NULL && !replica->disk_failed)
		append_message(replica->wal, WAL_ENTRY, &entry->base);
}

int replica_store_write_snapshot(replica_t *replica)
{
	if (replica->wal == NULL)
		return 0;
	return snapshot_write(replica->snapshot_path, raft_snapshot(replica->raft));
}

/* Leaves out the entries that the snapshot covers, which stay in memory for members that lag
 * behind: up to 8,000 of them would be written again with each snapshot. */
void replica_store_buffer_log(replica_t *replica)
{
	const raft_t *raft = replica->raft;
	const raft_snapshot_t *snapshot = raft_snapshot(raft);
	uint64_t first = raft_first_index(raft);
	wal_t *wal = replica->wal;

	wal_discard(wal);
	if (snapshot->index >= first) {
		first = snapshot->index + 1;
		append_base(wal, snapshot->index, snapshot->term, &snapshot->config);
	} else {
		append_base(wal, first - 1, raft_base_term(raft), raft_base_config(raft));
	}
	append_vote(wal, raft_term(raft), raft_voted_for(raft));
	for (uint64_t i = first; i <= raft_last_index(raft); i++)
		append_message(wal, WAL_ENTRY, &raft_entry(raft, i)->base);
}

int replica_store_rewrite_log(replica_t *replica)
{
	if (replica->wal == NULL)
		return 0;
	replica_store_buffer_log(replica);
	return wal_rewrite(replica->wal);
}

static int recover_base(replica_t *replica, const uint8_t *payload, size_t length)
{
	Lp__SnapshotChunk *base = lp__snapshot_chunk__unpack(NULL, length, payload);
	raft_config_t config;

	if (base == NULL)
		return -1;
	if (!raft_config_from_message(&config, base->config)) {
		lp__snapshot_chunk__free_unpacked(base, NULL);
		return -1;
	}
	/* replica_init_data_dir() does not know the founding voters, so the first start records
	 * them. A later change of the settings then does not change the group's first
	 * configuration. */
	if (base->last_index == 0 && config.count == 0)
		config = *raft_base_config(replica->raft);
	raft_restore_base(replica->raft, base->last_index, base->last_term, &config);
	lp__snapshot_chunk__free_unpacked(base, NULL);
	return 0;
}

static int recover_vote(replica_t *replica, const uint8_t *payload, size_t length)
{
	Lp__RaftMessage *message = lp__raft_message__unpack(NULL, length, payload);
	int result = -1;

	if (message == NULL)
		return -1;
	if (message->body_case == LP__RAFT_MESSAGE__BODY_VOTE && message->from != NULL) {
		raft_id_t vote = {message->from->node_id, message->from->replica_id};

		raft_restore_vote(replica->raft, message->vote->term, vote);
		result = 0;
	}
	lp__raft_message__free_unpacked(message, NULL);
	return result;
}

static int recover_entry(replica_t *replica, const uint8_t *payload, size_t length)
{
	Lp__LogEntry *entry = lp__log_entry__unpack(NULL, length, payload);
	int result;

	if (entry == NULL)
		return -1;
	result = raft_restore_entry(replica->raft, entry);
	lp__log_entry__free_unpacked(entry, NULL);
	return result;
}

static int recover_record(void *arg, wal_type_t type, const uint8_t *payload, size_t length)
{
	switch (type) {
	case WAL_BASE:
		return recover_base(arg, payload, length);
	case WAL_VOTE:
		return recover_vote(arg, payload, length);
	case WAL_ENTRY:
		return recover_entry(arg, payload, length);
	}
	return -1;
}

static int write_identity(const char *path, raft_id_t id)
{
	Lp__ReplicaId message = LP__REPLICA_ID__INIT;
	uint8_t packed[64];
	uint8_t *file;
	size_t length = 0;
	int result;

	message.node_id = id.node;
	message.replica_id = id.replica;
	file = file_frame_append(NULL, &length, FRAME_TYPE_IDENTITY, packed,
				 lp__replica_id__pack(&message, packed));
	result = durable_replace(path, file, length);
	talloc_free(file);
	return result;
}

/* Reads the identity file. @return 1 when the file was read, 0 when the file does not exist, or -1
 * with a message in error */
static int read_identity(const char *path, uint32_t node_id, raft_id_t *id, char *error,
			 size_t error_size)
{
	g_autoptr(GError) read_error = NULL;
	g_autofree char *file = NULL;
	Lp__ReplicaId *message;
	file_frame_t frame;
	gsize length;

	if (!g_file_get_contents(path, &file, &length, &read_error)) {
		if (g_error_matches(read_error, G_FILE_ERROR, G_FILE_ERROR_NOENT))
			return 0;
		snprintf(error, error_size, "%s", read_error->message);
		return -1;
	}
	if (file_frame_read(&frame, (const uint8_t *)file, length) == 0 ||
	    (message = lp__replica_id__unpack(NULL, frame.length, frame.payload)) == NULL) {
		snprintf(error, error_size, "%s: offset 0: damaged identity", path);
		return -1;
	}
	*id = (raft_id_t){message->node_id, message->replica_id};
	lp__replica_id__free_unpacked(message, NULL);
	if (id->node != node_id) {
		snprintf(error, error_size, "%s: belongs to node %u, not %u", path, id->node,
			 node_id);
		return -1;
	}
	return 1;
}

/* Creates an empty log and then the identity file, so that a directory with an identity always has
 * a log. */
static int create_data_dir(const char *dir, raft_id_t id, char *error, size_t error_size)
{
	g_autofree char *log_path = g_build_filename(dir, "log", NULL);
	g_autofree char *snapshot_path = g_build_filename(dir, "snapshot", NULL);
	g_autofree char *identity_path = g_build_filename(dir, "identity", NULL);
	const raft_config_t none = {0};
	wal_t *wal = wal_create(NULL, log_path);
	int result = -1;

	append_base(wal, 0, 0, &none);
	if (g_mkdir_with_parents(dir, 0700) != 0)
		snprintf(error, error_size, "%s: %s", dir, strerror(errno));
	else if (g_file_test(snapshot_path, G_FILE_TEST_EXISTS))
		snprintf(error, error_size, "%s: snapshot without an identity", snapshot_path);
	else if (wal_rewrite(wal) != 0)
		snprintf(error, error_size, "%s: %s", log_path, strerror(errno));
	else if (write_identity(identity_path, id) != 0)
		snprintf(error, error_size, "%s: %s", identity_path, strerror(errno));
	else
		result = 0;
	wal_close(wal);
	return result;
}

int replica_init_data_dir(const char *data_dir, uint32_t node_id, char *error, size_t error_size)
{
	g_autofree char *path = g_build_filename(data_dir, "identity", NULL);

	if (g_file_test(path, G_FILE_TEST_EXISTS)) {
		snprintf(error, error_size, "%s: exists already", path);
		return -1;
	}
	return create_data_dir(data_dir, (raft_id_t){node_id, FOUNDING_REPLICA_ID}, error,
			       error_size);
}

static uint64_t random_replica_id(uint64_t seed)
{
	uint64_t id = 0;

	if (getrandom(&id, sizeof(id), 0) != (ssize_t)sizeof(id))
		id = seed ^ (uint64_t)g_get_real_time();
	id &= REPLICA_ID_MASK;
	return id <= FOUNDING_REPLICA_ID ? FOUNDING_REPLICA_ID + 1 : id;
}

static int recover(replica_t *replica, char *error, size_t error_size)
{
	raft_snapshot_t snapshot;
	int found;

	replica->wal =
		wal_open(replica, replica->log_path, recover_record, replica, error, error_size);
	if (replica->wal == NULL)
		return -1;
	found = snapshot_read(replica, replica->snapshot_path, &snapshot, error, error_size);
	if (found < 0)
		return -1;
	if (snapshot.index < raft_first_index(replica->raft) - 1) {
		snprintf(error, error_size,
			 "%s: covers entries up to %" PRIu64 ", but %s starts after %" PRIu64,
			 replica->snapshot_path, snapshot.index, replica->log_path,
			 raft_first_index(replica->raft) - 1);
		return -1;
	}
	if (found == 1) {
		raft_restore_snapshot(replica->raft, &snapshot);
		replica->applied_index = snapshot.index;
		replica->snapshot_index = snapshot.index;
		if (replica->state_machine.load(replica->state_machine.arg, snapshot.data,
						snapshot.length) != 0) {
			snprintf(error, error_size, "%s: cannot be loaded", replica->snapshot_path);
			return -1;
		}
		talloc_free(snapshot.data);
	}
	/* Write the log file again from the recovered state, because a snapshot may have replaced
	 * some of its entries. */
	if (replica_store_rewrite_log(replica) != 0) {
		replica->disk_failed = true;
		raft_set_disk_writable(replica->raft, 0, false);
	}
	return 0;
}

int replica_store_open(replica_t *replica, char *error, size_t error_size)
{
	const char *dir = replica->config.data_dir;
	int found;

	replica->self.node = replica->config.node_id;
	replica->self.replica = random_replica_id(replica->config.seed);
	if (dir == NULL)
		return 0;
	replica->log_path = talloc_asprintf(replica, "%s/log", dir);
	replica->snapshot_path = talloc_asprintf(replica, "%s/snapshot", dir);
	replica->identity_path = talloc_asprintf(replica, "%s/identity", dir);
	found = read_identity(replica->identity_path, replica->self.node, &replica->self, error,
			      error_size);
	if (found < 0)
		return -1;
	if (found == 0)
		return create_data_dir(dir, replica->self, error, error_size);
	return 0;
}

int replica_store_recover(replica_t *replica, char *error, size_t error_size)
{
	return replica->log_path == NULL ? 0 : recover(replica, error, error_size);
}
