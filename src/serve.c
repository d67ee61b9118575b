#define G_LOG_DOMAIN "serve"

#include "serve.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

#include "admin.h"
#include "announce.h"
#include "auth.h"
#include "clock.h"
#include "controller.h"
#include "job_runner.h"
#include "log.h"
#include "node.h"
#include "publish.h"

#define ERROR_SIZE 512
/* Time after which a process that has not caught up with the leader starts to serve requests
 * anyway, with the replicated state that it has. */
#define CATCH_UP_TIMEOUT_US (10 * US_PER_S)
/* Period of on_tick(). It is at most half the peer timeout, unless that is set below 100 ms, so
 * that changes are noticed in time, for example that this member was recorded as down. A shorter
 * period has no benefit. */
#define TICK_MS 50
#define ROUTE_TABLE_SHARDS 8
/* Maximum age of a connection to a target. An older connection is replaced, because a connection
 * can stop responding without being closed. Also the idle timeout of the HTTP server. */
#define CONNECTION_AGE_MAX_S 60
/* Each I/O thread has memory for at least this many of the largest bodies. */
#define BODIES_PER_THREAD_MIN ((size_t)4)
/* Minimum time between two proposals of this process's member record. */
#define MEMBER_PROPOSAL_INTERVAL_US (2 * US_PER_S)

/** The node, which other modules share, and state that only this file uses. */
typedef struct {
	node_t node;
	uint64_t start_us;
	uint64_t drain_start_us;
	uint64_t last_member_proposal_us; /**< time of the latest proposal of the member record */
	timer_sub_t tick_timer;
	timer_sub_t peer_refresh_timer;
	bool down_proposed; /**< whether this process has proposed to record itself as down */
	int exit_status;    /**< exit status of the process; the event loop runs while it is -1 */
} serve_state_t;

static void on_peer_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	node_t *node = arg;

	switch (envelope->body_case) {
	case LP__ENVELOPE__BODY_RAFT:
	case LP__ENVELOPE__BODY_PROPOSE:
	case LP__ENVELOPE__BODY_PROPOSE_REPLY:
		replica_receive(node->replica, from, envelope);
		break;
	case LP__ENVELOPE__BODY_CLAIMS:
	case LP__ENVELOPE__BODY_CLAIM_REPLIES:
	case LP__ENVELOPE__BODY_CLAIM_SYNC:
	case LP__ENVELOPE__BODY_CLAIM_SYNC_REPLY:
		if (node->claims != NULL)
			claims_receive(node->claims, from, envelope, clock_now_us());
		break;
	case LP__ENVELOPE__BODY_TARGETS:
		announce_handle_forwarded_reports(node->announce, envelope->targets);
		break;
	case LP__ENVELOPE__BODY_LOAD:
		controller_handle_load_report(node->controller, from, envelope->load);
		break;
	case LP__ENVELOPE__BODY_HELLO:
	case LP__ENVELOPE__BODY_PING:
	case LP__ENVELOPE__BODY_PONG:
	case LP__ENVELOPE__BODY_SLOT_REQUEST:
	case LP__ENVELOPE__BODY_SLOT_LOAN:
	case LP__ENVELOPE__BODY_BATCH_CALL:
	case LP__ENVELOPE__BODY_BATCH_REPLY:
	case LP__ENVELOPE__BODY_LEADER_HINT:
	case LP__ENVELOPE__BODY_VM_REPORTS:
	case LP__ENVELOPE__BODY_VM_ORDER:
	case LP__ENVELOPE__BODY_VM_RESULT:
	case LP__ENVELOPE__BODY_POLICY_QUERY:
	case LP__ENVELOPE__BODY_POLICY_ANSWER:
	case LP__ENVELOPE__BODY__NOT_SET:
	case _LP__ENVELOPE__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

static void on_peer_change(void *arg, const peer_info_t *info)
{
	node_t *node = arg;
	char id[16];

	g_snprintf(id, sizeof(id), "%u", info->node_id);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("peer", id, "data_centre",
			     info->data_centre == NULL ? "" : info->data_centre),
		  "peer is %s", info->up ? "up" : "down");
	if (info->up)
		replica_peer_up(node->replica, info->node_id, info->replica_id, info->has_disk);
	publish_members(node);
}

static uint64_t applied_index(void *arg)
{
	const node_t *node = arg;

	return node->replica == NULL ? 0 : replica_applied(node->replica);
}

static int send_to_peer(void *arg, uint32_t node_id, const Lp__Envelope *envelope)
{
	node_t *node = arg;

	return node->peers == NULL ? -1 : peer_send(node->peers, node_id, envelope);
}

static void receive_from_members(void *arg)
{
	node_t *node = arg;

	if (node->peers != NULL)
		peer_set_serve_members(node->peers);
}

static void ignore_result(void *arg, const Lp__Result *result)
{
}

static void propose_member(node_t *node, bool up)
{
	const settings_t *settings = node->settings;
	Lp__Member member = LP__MEMBER__INIT;
	Lp__MemberUpdate update = LP__MEMBER_UPDATE__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	member.node_id = settings->node;
	member.replica_id = replica_id(node->replica);
	member.data_centre = settings->data_centre;
	member.peer_address = settings->listen_peer;
	member.http_address =
		settings->advertise_http != NULL ? settings->advertise_http : settings->listen_http;
	member.disk = settings->data_dir != NULL;
	member.up = up;
	update.member = &member;
	command.body_case = LP__COMMAND__BODY_MEMBER_UPDATE;
	command.member_update = &update;
	node_propose(node, &command, ignore_result, NULL);
}

/** Proposes this process's member record repeatedly until the replicated state contains it. */
static void ensure_member_record(serve_state_t *serve, uint64_t now_us)
{
	node_t *node = &serve->node;
	const fleet_member_t *member = fleet_member_find(&node->fleet, node->settings->node);

	if (!node->started_serving || node->draining)
		return;
	/* The leader records an unreachable member as down. When that member is connected again, it
	 * proposes a record that says that it is up. */
	if (member != NULL && member->up && member->replica_id == replica_id(node->replica) &&
	    strcmp(member->data_centre, node->settings->data_centre) == 0)
		return;
	if (serve->last_member_proposal_us != 0 &&
	    now_us - serve->last_member_proposal_us < MEMBER_PROPOSAL_INTERVAL_US)
		return;
	serve->last_member_proposal_us = now_us;
	propose_member(node, true);
}

static int start_threads(node_t *node)
{
	const settings_t *settings = node->settings;
	static char ip[64];
	io_thread_config_t config = {
		.routes = node->routes,
		.metrics = node->metrics,
		.control_mailbox = &node->mailbox,
		.claims = node->claims,
		.request_log = &node->requests,
		.control_handler = admin_handle,
		.control_arg = node,
	};
	uint16_t port;
	size_t memory;

	if (settings_split_address(settings->listen_http, ip, sizeof(ip), &port) != 0)
		return -1;
	if (http_server_check_address(ip, port) != 0)
		return -1;
	memory = (size_t)settings->limits.client_memory_mib * 1024 * 1024 / settings->threads;
	config.server = (http_server_config_t){
		.address = ip,
		.port = port,
		.body_limit = settings->limits.body_bytes,
		.connection_limit = settings->limits.connections,
		.idle_timeout_s = CONNECTION_AGE_MAX_S,
		.memory_limit = MAX(memory, BODIES_PER_THREAD_MIN * settings->limits.body_bytes),
		.metrics = node->metrics,
		.name = "http",
	};
	node->threads = talloc_zero_array(node->ev, io_thread_t *, settings->threads);
	for (unsigned i = 0; i < settings->threads; i++) {
		config.seed = node->incarnation + i;
		node->threads[i] = io_thread_start(&config);
		if (node->threads[i] == NULL)
			return -1;
		node->thread_count++;
	}
	return 0;
}

/**
 * Starts the claims replica. The replicated state tells whether this member may have held claims
 * that it lost in a restart. Therefore this function is called only when the process has caught up
 * with the leader or CATCH_UP_TIMEOUT_US has expired.
 */
static void start_claims(node_t *node, bool caught_up)
{
	const claims_config_t config = {
		.node_id = node->settings->node,
		.incarnation = node->incarnation,
		.retention_us = node->settings->limits.claim_retention_s * US_PER_S,
		.acquire_timeout_ms = 500,
		.record_timeout_ms = 200,
		.outcome_limit = 16 * 1024,
		/* A node that is not in the replicated list of members has never held a claim. */
		.fresh_cluster =
			caught_up && fleet_member_find(&node->fleet, node->settings->node) == NULL,
	};

	node->claims = claims_create(node->ev, &config, send_to_peer, node);
	publish_members(node);
}

/* Starts the claims replica and the I/O threads.
 * @param caught_up false when CATCH_UP_TIMEOUT_US has expired before the replica caught up */
static void start_serving(serve_state_t *serve, bool caught_up)
{
	node_t *node = &serve->node;

	node->started_serving = true;
	start_claims(node, caught_up);
	if (start_threads(node) != 0) {
		log_event(G_LOG_LEVEL_CRITICAL, LOG_FIELDS("address", node->settings->listen_http),
			  "cannot listen: %s", strerror(errno));
		serve->exit_status = 1;
		return;
	}
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("address", node->settings->listen_http),
		  "serving%s", caught_up ? "" : " without contact to a leader");
}

/* Whether this process has applied all log entries that were committed when it first reached a
 * leader. */
static bool replica_caught_up(node_t *node, uint64_t now_us)
{
	if (!replica_has_leader_contact(node->replica, now_us))
		return false;
	/* Remember the commit index at the first contact with the leader; all entries up to it have
	 * to be applied. */
	if (node->contact_index == 0)
		node->contact_index = replica_committed(node->replica);
	return node->contact_index > 0 && replica_applied(node->replica) >= node->contact_index;
}

static void drain_threads(node_t *node)
{
	for (unsigned i = 0; i < node->thread_count; i++)
		io_thread_drain(node->threads[i]);
}

static bool threads_idle(const node_t *node)
{
	for (unsigned i = 0; i < node->thread_count; i++) {
		if (!io_thread_idle(node->threads[i]))
			return false;
	}
	return true;
}

/**
 * Continues a graceful shutdown; called at each tick. Proposes to record this member as down,
 * drains the I/O threads, and ends the event loop when no request is in flight or drain_grace_ms
 * has expired.
 */
static void continue_shutdown(serve_state_t *serve, uint64_t now_us)
{
	node_t *node = &serve->node;
	uint64_t waited_us = now_us - serve->drain_start_us;

	if (!serve->down_proposed) {
		serve->down_proposed = true;
		propose_member(node, false);
		drain_threads(node);
	}
	/* Wait a few ticks even without requests in flight, so that the proposal is sent. */
	if ((threads_idle(node) && waited_us > 4 * TICK_MS * US_PER_MS) ||
	    waited_us > node->settings->timing.drain_grace_ms * US_PER_MS)
		serve->exit_status = 0;
}

/**
 * Tells the replica the identities of all connected peers. Repeated regularly, because a log entry
 * can make the replica adopt an older identity of a peer.
 */
static void refresh_peer_identities(node_t *node)
{
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_info_at(node->peers, i);

		if (info->up)
			replica_peer_up(node->replica, info->node_id, info->replica_id,
					info->has_disk);
	}
}

static void on_peer_refresh(void *arg, uint64_t now_us)
{
	refresh_peer_identities(arg);
}

static void on_tick(void *arg, uint64_t now_us)
{
	serve_state_t *serve = arg;
	node_t *node = &serve->node;

	if (node->draining) {
		continue_shutdown(serve, now_us);
	} else if (!node->started_serving) {
		bool caught_up = replica_caught_up(node, now_us);

		if (caught_up || now_us - serve->start_us > CATCH_UP_TIMEOUT_US)
			start_serving(serve, caught_up);
	}
	ensure_member_record(serve, now_us);
	if (node->claims != NULL)
		claims_tick(node->claims, now_us);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
		      void *siginfo, void *private_data)
{
	serve_state_t *serve = private_data;

	if (serve->node.draining)
		return;
	serve->node.draining = true;
	serve->drain_start_us = clock_now_us();
	log_event(G_LOG_LEVEL_MESSAGE, NULL, "shutting down");
}

static int init_peers(node_t *node)
{
	const settings_t *settings = node->settings;
	peer_address_t *addresses =
		talloc_zero_array(node->ev, peer_address_t, settings->peers_count);
	size_t count = 0;
	peer_config_t config = {
		.cluster = settings->cluster,
		.node_id = settings->node,
		.replica_id = replica_id(node->replica),
		.incarnation = node->incarnation,
		.data_centre = settings->data_centre,
		.http_address = settings->advertise_http != NULL ? settings->advertise_http
								 : settings->listen_http,
		.has_disk = settings->data_dir != NULL,
		.listen_address = settings->listen_peer,
		.peers = addresses,
		.ping_ms = settings->timing.ping_ms,
		.timeout_ms = settings->timing.peer_timeout_ms,
	};
	const peer_callbacks_t callbacks = {
		.message_received = on_peer_message,
		.peer_changed = on_peer_change,
		.applied_index = applied_index,
		.arg = node,
	};

	for (unsigned i = 0; i < settings->peers_count; i++) {
		if (settings->peers[i].node == settings->node)
			continue;
		addresses[count++] = (peer_address_t){
			.node_id = settings->peers[i].node,
			.address = settings->peers[i].address,
		};
	}
	config.peer_count = count;
	node->peers = peer_set_create(node->ev, node->ev, &node->timers, &config, &callbacks);
	if (node->peers == NULL) {
		log_event(G_LOG_LEVEL_CRITICAL, LOG_FIELDS("address", settings->listen_peer),
			  "cannot listen for peers: %s", strerror(errno));
		return -1;
	}
	return 0;
}

static int init_replica(node_t *node)
{
	const settings_t *settings = node->settings;
	const replica_config_t config = {
		.node_id = settings->node,
		.data_dir = settings->data_dir,
		.founding_voters = settings->voters,
		.founding_voter_count = settings->voters_count,
		.heartbeat_ms = settings->timing.heartbeat_ms,
		.election_min_ms = settings->timing.election_ms,
		.lease_ms = settings->timing.lease_ms,
		.snapshot_every = settings->limits.snapshot_entries,
		.seed = node->incarnation,
		.receive_pending = receive_from_members,
	};
	const replica_state_machine_t state_machine = publish_state_machine(node);
	char error[ERROR_SIZE];

	node->replica = replica_create(node->ev, &node->timers, &config, &state_machine,
				       send_to_peer, node, error, sizeof(error));
	if (node->replica == NULL) {
		log_event(G_LOG_LEVEL_CRITICAL, NULL, "%s", error);
		return -1;
	}
	return 0;
}

static bool is_loopback(const char *address)
{
	char ip[64];
	uint16_t port;
	struct in_addr v4;

	if (settings_split_address(address, ip, sizeof(ip), &port) != 0)
		return false;
	if (inet_pton(AF_INET, ip, &v4) == 1)
		return (ntohl(v4.s_addr) >> 24) == 127;
	return strcmp(ip, "::1") == 0;
}

static int init_auth(node_t *node)
{
	char error[ERROR_SIZE];

	node->auth = auth_create(node->settings->token_file,
				 is_loopback(node->settings->listen_http), error, sizeof(error));
	if (node->auth == NULL) {
		log_event(G_LOG_LEVEL_CRITICAL, NULL, "%s", error);
		return -1;
	}
	return 0;
}

static void init_routes(node_t *node)
{
	const route_table_config_t config = {
		.shard_count = ROUTE_TABLE_SHARDS,
		.data_centre = node->settings->data_centre,
		.node_id = node->settings->node,
		.routing_lease_us = node->settings->timing.routing_lease_ms * US_PER_MS,
		.seed = node->incarnation,
	};

	node->routes = route_table_create(&config);
}

static void run_loop(serve_state_t *serve)
{
	node_t *node = &serve->node;

	serve->exit_status = -1;
	while (serve->exit_status < 0) {
		if (tevent_loop_once(node->ev) != 0)
			break;
		if (node->claims != NULL)
			claims_flush(node->claims);
	}
}

static void stop_threads(node_t *node)
{
	for (unsigned i = 0; i < node->thread_count; i++)
		io_thread_stop(node->threads[i]);
	node->thread_count = 0;
}

int serve_run(const settings_t *settings)
{
	serve_state_t serve = {
		.node = {.settings = settings}, .exit_status = 1, .start_us = clock_now_us()};
	node_t *node = &serve.node;

	log_init(settings->log_format == SETTINGS_LOG_JSON, settings->log_debug, settings->node);
	signal(SIGPIPE, SIG_IGN);
	/* SIGXFSZ would kill the process. When it is ignored, a write beyond the file size limit
	 * fails as on a full disk, and the replica steps down. */
	signal(SIGXFSZ, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (getrandom(&node->incarnation, sizeof(node->incarnation), 0) !=
	    sizeof(node->incarnation))
		return 1;
	node->ev = tevent_context_init(NULL);
	timer_service_init(&node->timers, node->ev);
	node->metrics = metrics_create();
	fleet_init(&node->fleet);
	health_init(&node->health, settings->timing.routing_lease_ms * US_PER_MS,
		    settings->timing.lost_ms * US_PER_MS);
	init_routes(node);
	request_log_init(&node->requests);
	if (init_auth(node) != 0)
		goto finish_state;
	if (mailbox_init(&node->mailbox, node->ev) != 0)
		goto finish_auth;
	if (http_client_init(&node->client, node->ev, CONNECTION_AGE_MAX_S) != 0)
		goto finish_mailbox;
	if (init_replica(node) != 0)
		goto finish_client;
	node->announce = announce_create(node);
	node->controller = controller_create(node);
	node->jobs = job_runner_create(node);
	if (init_peers(node) != 0)
		goto finish_parts;
	publish_all(node);
	tevent_add_signal(node->ev, node->ev, SIGTERM, 0, on_signal, &serve);
	tevent_add_signal(node->ev, node->ev, SIGINT, 0, on_signal, &serve);
	timer_subscribe(&node->timers, &serve.tick_timer, TICK_MS * US_PER_MS, on_tick, &serve);
	timer_subscribe(&node->timers, &serve.peer_refresh_timer, US_PER_S, on_peer_refresh, node);
	run_loop(&serve);
	timer_unsubscribe(&node->timers, &serve.tick_timer);
	timer_unsubscribe(&node->timers, &serve.peer_refresh_timer);
	stop_threads(node);
	log_event(G_LOG_LEVEL_MESSAGE, NULL, "stopped");
	if (node->claims != NULL)
		claims_destroy(node->claims);
	peer_set_destroy(node->peers);
	node->peers = NULL;
finish_parts:
	job_runner_destroy(node->jobs);
	controller_destroy(node->controller);
	announce_destroy(node->announce);
	replica_destroy(node->replica);
finish_client:
	http_client_finish(&node->client);
finish_mailbox:
	mailbox_finish(&node->mailbox);
finish_auth:
	auth_destroy(node->auth);
finish_state:
	request_log_finish(&node->requests);
	route_table_destroy(node->routes);
	health_finish(&node->health);
	fleet_finish(&node->fleet);
	metrics_destroy(node->metrics);
	timer_service_finish(&node->timers);
	talloc_free(node->ev);
	curl_global_cleanup();
	return serve.exit_status < 0 ? 1 : serve.exit_status;
}
