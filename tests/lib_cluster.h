#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

/**
 * @file
 * Fixture for integration tests with real processes: starts entry processes, the emulator, the
 * relay and the load tool on free loopback ports, with their files in a temporary directory.
 * Signals only processes that it started, by pid. Programs are taken from $LAVENDERPASS_BUILD, by
 * default build/release. The directory is kept when LAVENDERPASS_KEEP is set.
 */

#define CLUSTER_NODES_MAX 9
#define CLUSTER_DATA_CENTRES_MAX 5

typedef struct {
	unsigned nodes;	       /**< number of entry processes; node ids are 1 to nodes */
	unsigned data_centres; /**< named dc-a, dc-b, ...; nodes are assigned round-robin */
	unsigned voters;       /**< nodes 1 to voters are the founding voters; 1, 3 or 5 */
	bool use_relay;	       /**< peer connections pass through the relay */
	const char *timing; /**< YAML lines below "timing:", each indented by two spaces; or NULL */
	const char *extra_settings; /**< further YAML lines at the top level, or NULL */
	unsigned targets;	    /**< number of emulated targets; 0 starts no emulator */
	const char *organisation;   /**< NULL: barid */
	const char *pools;   /**< pools of the targets, separated by commas; NULL: backoffice */
	unsigned service_ms; /**< time a target takes per request; 0: 20 */
	unsigned reboot_ms;  /**< time a target takes to reboot; 0: 500 */
	const char *emulator_args; /**< further arguments, separated by spaces, or NULL */
} cluster_config_t;

/** One entry process. */
typedef struct {
	pid_t pid; /**< 0: not running */
	char *settings_file;
	char *data_dir; /**< NULL: not a voter, keeps nothing on disk */
	char *log_file;
	const char *data_centre;
	uint16_t http_port;
	uint16_t peer_port;
} cluster_node_t;

typedef struct {
	cluster_config_t config;
	char *dir;				 /**< temporary directory */
	char *build_dir;			 /**< where the programs are */
	cluster_node_t nodes[CLUSTER_NODES_MAX]; /**< node id 1 is at index 0 */
	char *dc_names[CLUSTER_DATA_CENTRES_MAX];
	uint16_t platform_port;	    /**< platform API of the emulator */
	uint16_t control_port;	    /**< control API of the emulator: /state and /behaviour */
	uint16_t first_relay_port;  /**< of link 0; the other links follow */
	uint16_t first_target_port; /**< of the first target; the others follow */
	pid_t emulator_pid;	    /**< 0: not running */
	pid_t relay_pid;	    /**< 0: not running */
	int relay_stdin;	    /**< the relay reads commands here */
	int relay_stdout;	    /**< the relay answers commands here */
	char *emulator_journal;	    /**< file with one JSON line per execution event */
} cluster_t;

/**
 * Creates the directory and the settings files and picks free ports; starts nothing. Fails the test
 * on errors.
 * @return to be freed with cluster_destroy()
 */
cluster_t *cluster_create(const cluster_config_t *config);
/** Initialises the voters, starts the relay, the emulator and all entry processes as configured,
 * and waits until every entry process answers /healthz. Fails the test after 20 s. */
void cluster_start(cluster_t *cluster);
/** Stops all processes (SIGTERM, then SIGKILL after 5 s), deletes the directory and frees cluster.
 */
void cluster_destroy(cluster_t *cluster);

void cluster_start_relay(cluster_t *cluster);
/** Starts the emulator and waits until its control API answers. */
void cluster_start_emulator(cluster_t *cluster);
/** Creates the data directory of a founding voter with "lavenderpass init --first". */
void cluster_init_node(cluster_t *cluster, unsigned node);
/** Starts an entry process that is not running; does not wait until it answers. */
void cluster_start_node(cluster_t *cluster, unsigned node);
/** Sends a signal such as SIGSTOP, SIGCONT or SIGTERM. */
void cluster_signal_node(cluster_t *cluster, unsigned node, int signal);
/** Sends SIGKILL and waits until the process has exited. */
void cluster_kill_node(cluster_t *cluster, unsigned node);
/** Waits until an entry process has exited. @return exit status, 128 + signal, or -1 on timeout */
int cluster_wait_node_exit(cluster_t *cluster, unsigned node, unsigned timeout_ms);
/** Deletes the data directory of a voter that is not running. */
void cluster_delete_data(cluster_t *cluster, unsigned node);

/** Sends one command to the relay; fails the test when the relay rejects it. */
void cluster_relay_command(cluster_t *cluster, const char *command);
/** Number of the relay link for connections that node `from` opens to the peer port of `to`. */
unsigned cluster_relay_link(const cluster_t *cluster, unsigned from, unsigned to);
/** Sends a relay command, given without its link number (such as "cut" or "heal"), for all links
 * between two data centres, in both directions. */
void cluster_relay_data_centres(cluster_t *cluster, const char *command, const char *dc_a,
				const char *dc_b);

/** Changes how targets behave, by POST /behaviour of the emulator. Fails the test when no target
 * matches. @param query such as "vm=barid-vm001&mode=killed" */
void cluster_set_behaviour(cluster_t *cluster, const char *query);
/** GET /state of the emulator. @return new reference to an array of targets, or NULL on errors */
json_t *cluster_get_targets(cluster_t *cluster);

/** http://127.0.0.1:PORT of a node, in static memory that the fourth next call overwrites. */
const char *cluster_url(const cluster_t *cluster, unsigned node);
/**
 * Sends one HTTP request and waits for the response, at most 10 s.
 * @param method "GET" or "POST"
 * @param body JSON body, or NULL for none
 * @param status set to the HTTP status, or to 0 without a complete response; may be NULL
 * @return new reference to the response's JSON, or NULL
 */
json_t *cluster_http(const char *method, const char *url, const char *path, const json_t *body,
		     long *status);
json_t *cluster_get(const cluster_t *cluster, unsigned node, const char *path, long *status);
json_t *cluster_post(const cluster_t *cluster, unsigned node, const char *path, const json_t *body,
		     long *status);

/** Polls the condition every 20 ms until it holds. @return false on timeout */
bool cluster_wait_until(bool (*condition)(void *arg), void *arg, unsigned timeout_ms);

/**
 * Starts the load tool against all entry processes.
 * @param name its journal is DIR/NAME.journal, its summary DIR/NAME.json
 * @param args further arguments, ended by NULL
 */
pid_t cluster_load_start(cluster_t *cluster, const char *name, const char *const *args);
/** Waits until the load tool has exited; fails the test on timeout.
 * @return new reference to its summary */
json_t *cluster_load_wait(cluster_t *cluster, const char *name, pid_t pid, unsigned timeout_ms);
/**
 * Runs "lavenderpass" and waits until it has exited.
 * @param args arguments, ended by NULL
 * @param output set to what it printed, to be freed with g_free(); may be NULL
 * @return exit status, 128 + signal, or -1 after 60 s
 */
int cluster_run_cli(cluster_t *cluster, const char *const *args, char **output);

/** Reads a journal of JSON lines; an incomplete last line is left out. @return new reference to an
 * array, empty when the file cannot be read */
json_t *cluster_read_journal(const char *file);
/** Path of a file in the temporary directory; to be freed with g_free(). */
char *cluster_path(const cluster_t *cluster, const char *name);
