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
/* A process that cannot reach the leader starts to serve after this time from what it has. */
#define CATCH_UP_TIMEOUT_US (10 * US_PER_S)
/* Half the peer timeout keeps the view of a change fresh; finer gains nothing. */
#define TICK_MS 50
#define SHARDS 8
/* Connections to targets older than this are replaced: a connection may have gone silent for good.
 */
#define CONNECTION_AGE_MAX_S 60
#define MEMBER_RETRY_US (2 * US_PER_S)

/** What only this file needs, around the shared node. */
typedef struct {
	node_t node;
	uint64_t start_us;
	uint64_t drain_start_us;
	uint64_t member_proposed_us;
	timer_sub_t tick;
	timer_sub_t confirm;
	bool down_proposed; /**< the proposal that this member is down was sent */
	int status;
} serve_t;

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
		announce_reports(node->announce, envelope->targets);
		break;
	case LP__ENVELOPE__BODY_LOAD:
		controller_load(node->controller, from, envelope->load);
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
		replica_peer_up(node->replica, info->node_id, info->replica_id, info->disk);
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

/** Proposes this process's member record until the log has it. */
static void keep_member_record(serve_t *serve, uint64_t now_us)
{
	node_t *node = &serve->node;
	const fleet_member_t *member = fleet_member_find(&node->fleet, node->settings->node);

	if (!node->caught_up || node->draining)
		return;
	/* The leader marks a silent member down; it takes itself up again when it returns. */
	if (member != NULL && member->up && member->replica_id == replica_id(node->replica) &&
	    strcmp(member->data_centre, node->settings->data_centre) == 0)
		return;
	if (serve->member_proposed_us != 0 && now_us - serve->member_proposed_us < MEMBER_RETRY_US)
		return;
	serve->member_proposed_us = now_us;
	propose_member(node, true);
}

static int start_threads(node_t *node)
{
	const settings_t *settings = node->settings;
	static char ip[64];
	io_thread_config_t config = {
		.routes = node->routes,
		.metrics = node->metrics,
		.control = &node->mailbox,
		.claims = node->claims,
		.log = &node->requests,
		.control_handler = admin_handle,
		.control_arg = node,
	};
	uint16_t port;

	if (settings_split_address(settings->listen_http, ip, sizeof(ip), &port) != 0)
		return -1;
	if (http_server_check_address(ip, port) != 0)
		return -1;
	config.server = (http_server_config_t){
		.address = ip,
		.port = port,
		.body_limit = settings->limits.body_bytes,
		.connection_limit = settings->limits.connections,
		.idle_timeout_s = CONNECTION_AGE_MAX_S,
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

/** Claims start when it is known whether this member may have forgotten some. */
static void start_claims(node_t *node, bool caught_up)
{
	const claims_config_t config = {
		.node_id = node->settings->node,
		.incarnation = node->incarnation,
		.retention_us = node->settings->limits.claim_retention_s * US_PER_S,
		.acquire_timeout_ms = 500,
		.record_timeout_ms = 200,
		.outcome_limit = 16 * 1024,
		/* A node that the log does not know as a member never held a claim. */
		.fresh_cluster =
			caught_up && fleet_member_find(&node->fleet, node->settings->node) == NULL,
	};

	node->claims = claims_create(node->ev, &config, send_to_peer, node);
	publish_members(node);
}

static void start_serving(serve_t *serve, bool caught_up)
{
	node_t *node = &serve->node;

	node->caught_up = true;
	start_claims(node, caught_up);
	if (start_threads(node) != 0) {
		log_event(G_LOG_LEVEL_CRITICAL, LOG_FIELDS("address", node->settings->listen_http),
			  "cannot listen: %s", strerror(errno));
		serve->status = 1;
		return;
	}
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("address", node->settings->listen_http),
		  "serving%s", caught_up ? "" : " without contact to a leader");
}

static bool replica_caught_up(node_t *node, uint64_t now_us)
{
	if (!replica_in_contact(node->replica, now_us))
		return false;
	/* What was committed when the leader was first heard has to be applied. */
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

/** Steps of a graceful shutdown: tell the members, finish requests, end the loop. */
static void shutdown_step(serve_t *serve, uint64_t now_us)
{
	node_t *node = &serve->node;
	uint64_t waited_us = now_us - serve->drain_start_us;

	if (!serve->down_proposed) {
		serve->down_proposed = true;
		propose_member(node, false);
		drain_threads(node);
	}
	/* One tick at least, so that the proposal leaves. */
	if ((threads_idle(node) && waited_us > 4 * TICK_MS * US_PER_MS) ||
	    waited_us > node->settings->timing.drain_grace_ms * US_PER_MS)
		serve->status = 0;
}

/** The replica may adopt an older identity from log entries, so it is told again and again. */
static void confirm_peers(node_t *node)
{
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_at(node->peers, i);

		if (info->up)
			replica_peer_up(node->replica, info->node_id, info->replica_id, info->disk);
	}
}

static void on_confirm(void *arg, uint64_t now_us)
{
	confirm_peers(arg);
}

static void on_tick(void *arg, uint64_t now_us)
{
	serve_t *serve = arg;
	node_t *node = &serve->node;

	if (node->draining) {
		shutdown_step(serve, now_us);
	} else if (!node->caught_up) {
		bool caught_up = replica_caught_up(node, now_us);

		if (caught_up || now_us - serve->start_us > CATCH_UP_TIMEOUT_US)
			start_serving(serve, caught_up);
	}
	keep_member_record(serve, now_us);
	if (node->claims != NULL)
		claims_tick(node->claims, now_us);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
		      void *siginfo, void *private_data)
{
	serve_t *serve = private_data;

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
		.disk = settings->data_dir != NULL,
		.listen_address = settings->listen_peer,
		.peers = addresses,
		.ping_ms = settings->timing.ping_ms,
		.timeout_ms = settings->timing.peer_timeout_ms,
	};
	const peer_callbacks_t callbacks = {
		.message = on_peer_message,
		.change = on_peer_change,
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
		.voters = settings->voters,
		.voter_count = settings->voters_count,
		.heartbeat_ms = settings->timing.heartbeat_ms,
		.election_min_ms = settings->timing.election_ms,
		.lease_ms = settings->timing.lease_ms,
		.snapshot_every = settings->limits.snapshot_entries,
		.seed = node->incarnation,
	};
	const replica_machine_t machine = publish_machine(node);
	char error[ERROR_SIZE];

	node->replica = replica_create(node->ev, &node->timers, &config, &machine, send_to_peer,
				       node, error, sizeof(error));
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
		.shard_count = SHARDS,
		.data_centre = node->settings->data_centre,
		.node_id = node->settings->node,
		.routing_lease_us = node->settings->timing.routing_lease_ms * US_PER_MS,
		.seed = node->incarnation,
	};

	node->routes = route_table_create(&config);
}

static void run_loop(serve_t *serve)
{
	node_t *node = &serve->node;

	serve->status = -1;
	while (serve->status < 0) {
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
	serve_t serve = {.node = {.settings = settings}, .status = 1, .start_us = clock_now_us()};
	node_t *node = &serve.node;

	log_init(settings->log_format == SETTINGS_LOG_JSON, settings->log_debug, settings->node);
	signal(SIGPIPE, SIG_IGN);
	/* A file size limit is a full disk: the replica steps down instead of ending. */
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
	timer_subscribe(&node->timers, &serve.tick, TICK_MS * US_PER_MS, on_tick, &serve);
	timer_subscribe(&node->timers, &serve.confirm, US_PER_S, on_confirm, node);
	run_loop(&serve);
	timer_unsubscribe(&node->timers, &serve.tick);
	timer_unsubscribe(&node->timers, &serve.confirm);
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
	return serve.status < 0 ? 1 : serve.status;
}
