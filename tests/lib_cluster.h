#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

/**
 * @file
 * Process tests: starts entry processes, the emulator, the relay and the load tool on free loopback
 * ports, with their files in a temporary folder. Ends only processes that it started, by id.
 * Programs are taken from $LAVENDERPASS_BUILD, by default build/release. The folder is kept when
 * LAVENDERPASS_KEEP is set.
 */

#define CLUSTER_NODES_MAX 9
#define CLUSTER_CENTRES_MAX 5

typedef struct {
	unsigned nodes;	       /**< entry processes; node ids are 1 to nodes */
	unsigned data_centres; /**< names are dc-a, dc-b, ...; nodes are dealt out in turn */
	unsigned voters;       /**< the first ones; 1, 3 or 5 */
	bool relay;	       /**< peer connections pass through the relay */
	const char *timing; /**< YAML lines below "timing:", each indented by two spaces; or NULL */
	const char *settings; /**< further YAML lines at the top level, or NULL */
	/* Emulator; none is started when targets is 0. */
	unsigned targets;
	const char *organisation;  /**< barid */
	const char *pools;	   /**< backoffice */
	unsigned service_ms;	   /**< 0: 20 */
	unsigned reboot_ms;	   /**< 0: 500 */
	const char *emulator_args; /**< further arguments, separated by spaces, or NULL */
} cluster_config_t;

typedef struct {
	pid_t pid; /**< 0: not running */
	char *settings;
	char *data_dir; /**< NULL: no disk */
	char *log;
	const char *data_centre;
	uint16_t http_port;
	uint16_t peer_port;
} cluster_node_t;

typedef struct {
	cluster_config_t config;
	char *dir;
	char *build;
	cluster_node_t nodes[CLUSTER_NODES_MAX];
	char *centres[CLUSTER_CENTRES_MAX];
	uint16_t platform_port;
	uint16_t control_port;
	uint16_t relay_port; /**< of link 0 */
	uint16_t target_port;
	pid_t emulator;
	pid_t relay;
	int relay_in;
	int relay_out;
	char *journal; /**< of the emulator */
} cluster_t;

/** Prepares folder, ports and settings; starts nothing. Fails the test when that is impossible. */
cluster_t *cluster_create(const cluster_config_t *config);
/** Initialises the voters, starts the relay, the emulator and all entry processes, and waits until
 * they answer. */
void cluster_start(cluster_t *cluster);
/** Ends everything (SIGTERM, then SIGKILL) and deletes the folder. */
void cluster_destroy(cluster_t *cluster);

void cluster_start_relay(cluster_t *cluster);
void cluster_start_emulator(cluster_t *cluster);
/** Founding voter's identity, by "lavenderpass init". */
void cluster_init_node(cluster_t *cluster, unsigned node);
void cluster_start_node(cluster_t *cluster, unsigned node);
/** Sends a signal: SIGSTOP, SIGCONT, SIGTERM. */
void cluster_signal_node(cluster_t *cluster, unsigned node, int signal);
/** SIGKILL, and waits for the end. */
void cluster_kill_node(cluster_t *cluster, unsigned node);
/** Waits for a process's end after SIGTERM. @return its exit status, or -1 after the limit */
int cluster_wait_node(cluster_t *cluster, unsigned node, unsigned limit_ms);
/** Deletes the data folder of a node that does not run. */
void cluster_delete_data(cluster_t *cluster, unsigned node);

/** One command to the relay; fails the test when it is refused. */
void cluster_relay(cluster_t *cluster, const char *command);
/** Link of the relay for connections that one node opens to another's peer port. */
unsigned cluster_link(const cluster_t *cluster, unsigned from, unsigned to);
/** Applies a relay command without its link ("cut", "heal") to all links between two data centres,
 * in both directions. */
void cluster_relay_centres(cluster_t *cluster, const char *command, const char *a, const char *b);

/** POST /behaviour of the emulator; the query is for instance "vm=barid-vm001&mode=killed". */
void cluster_behaviour(cluster_t *cluster, const char *query);
/** GET /state of the emulator: an array of targets. */
json_t *cluster_targets(cluster_t *cluster);

/** http://127.0.0.1:PORT of a node; static memory, valid until the fourth next call. */
const char *cluster_url(const cluster_t *cluster, unsigned node);
/**
 * One HTTP request.
 * @param body NULL: none
 * @param status HTTP status, or 0 when there was no complete answer
 * @return the answer's JSON, or NULL
 */
json_t *cluster_http(const char *method, const char *url, const char *path, const json_t *body,
		     long *status);
json_t *cluster_get(const cluster_t *cluster, unsigned node, const char *path, long *status);
json_t *cluster_post(const cluster_t *cluster, unsigned node, const char *path, const json_t *body,
		     long *status);

/** Calls the condition every 20 ms until it holds. @return false after the limit */
bool cluster_wait(bool (*condition)(void *arg), void *arg, unsigned limit_ms);

/**
 * Starts the load tool against all entry processes.
 * @param name its journal is DIR/NAME.journal, its summary DIR/NAME.json
 * @param args further arguments, ended by NULL
 */
pid_t cluster_load_start(cluster_t *cluster, const char *name, const char *const *args);
/** Waits for it. @return its summary; fails the test after the limit */
json_t *cluster_load_wait(cluster_t *cluster, const char *name, pid_t pid, unsigned limit_ms);
/** Runs "lavenderpass" with arguments ended by NULL. @return its exit status */
int cluster_cli(cluster_t *cluster, const char *const *args, char **output);

/** A journal's lines as an array. The last line may be incomplete; it is left out then. */
json_t *cluster_journal(const char *file);
/** Path of a file in the folder; to be freed with g_free(). */
char *cluster_path(const cluster_t *cluster, const char *name);
