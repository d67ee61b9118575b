#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

/**
 * @file
 * Fixture for integration tests with real processes. It starts entry processes, the emulator, the
 * relay and the load tool on free loopback ports, with their files in a temporary directory, and
 * sends signals only to processes that it started, by pid. The programs are in $LAVENDERPASS_BUILD,
 * by default build/release. The temporary directory is kept when LAVENDERPASS_KEEP is set.
 */

#define CLUSTER_NODES_MAX 9
#define CLUSTER_DATA_CENTRES_MAX 5

typedef struct {
	unsigned nodes;	       /**< number of entry processes; their node ids are 1 to nodes */
	unsigned data_centres; /**< number of data centres dc-a, dc-b, ...; nodes are assigned to
				  them in turn */
	unsigned voters;    /**< number of founding voters, which are the first nodes: 1, 3 or 5 */
	bool use_relay;	    /**< whether peer connections pass through the relay */
	const char *timing; /**< YAML lines for the mapping "timing", each indented by two spaces;
			       or NULL */
	const char *extra_settings; /**< YAML lines added at the top level, or NULL */
	unsigned targets;	    /**< number of emulated targets; 0 starts no emulator */
	const char *organisation;   /**< organisation of the targets; NULL for barid */
	const char *pools;   /**< pools of the targets, separated by commas; NULL for backoffice */
	unsigned service_ms; /**< time that a target takes for a request; 0 for 20 ms */
	unsigned reboot_ms;  /**< time that a target takes to reboot; 0 for 500 ms */
	const char *emulator_args; /**< further arguments of the emulator, separated by spaces, or
				      NULL */
} cluster_config_t;

/** An entry process of the cluster. */
typedef struct {
	pid_t pid; /**< 0 while the process is not running */
	char *settings_file;
	char *data_dir; /**< data directory; NULL for a process that is no voter and keeps nothing
			   on disk */
	char *log_file;
	const char *data_centre;
	uint16_t http_port;
	uint16_t peer_port;
} cluster_node_t;

typedef struct {
	cluster_config_t config;
	char *dir;	 /**< path of the temporary directory */
	char *build_dir; /**< path of the directory that contains the programs */
	cluster_node_t nodes[CLUSTER_NODES_MAX]; /**< the node with id 1 is at index 0 */
	char *dc_names[CLUSTER_DATA_CENTRES_MAX];
	uint16_t platform_port;	   /**< port of the emulator's platform API */
	uint16_t control_port;	   /**< port of the emulator's control API, with the paths /state
					and /behaviour */
	uint16_t first_relay_port; /**< port of relay link 0; the ports of the other links follow */
	uint16_t first_target_port; /**< port of the first target; the ports of the others follow */
	pid_t emulator_pid;	    /**< 0 while the emulator is not running */
	pid_t relay_pid;	    /**< 0 while the relay is not running */
	int relay_stdin;	    /**< file descriptor to write commands to the relay */
	int relay_stdout;	    /**< file descriptor to read the relay's replies to commands */
	char *emulator_journal;	    /**< path of the emulator's journal, which has one JSON line per
					 event of a request */
} cluster_t;

/**
 * Creates the temporary directory and the settings files and picks free ports, but starts no
 * process. Fails the test on errors.
 * @return the cluster, to be freed with cluster_destroy()
 */
cluster_t *cluster_create(const cluster_config_t *config);
/** Initialises the voters, starts the relay, the emulator and the entry processes as configured,
 * and waits until every entry process responds to /healthz. Fails the test after 20 s. */
void cluster_start(cluster_t *cluster);
/** Stops all processes (SIGTERM, then SIGKILL after 5 s), deletes the temporary directory and frees
 * the cluster. */
void cluster_destroy(cluster_t *cluster);

void cluster_start_relay(cluster_t *cluster);
/** Starts the emulator and waits until its control API responds. */
void cluster_start_emulator(cluster_t *cluster);
/** Creates the data directory of a founding voter with "lavenderpass init --first". */
void cluster_init_node(cluster_t *cluster, unsigned node);
/** Starts an entry process that is not running. Does not wait until it serves requests. */
void cluster_start_node(cluster_t *cluster, unsigned node);
/** Sends a signal, such as SIGSTOP, SIGCONT or SIGTERM, to an entry process. */
void cluster_signal_node(cluster_t *cluster, unsigned node, int signal);
/** Sends SIGKILL to an entry process and waits until it has exited. */
void cluster_kill_node(cluster_t *cluster, unsigned node);
/** Waits until an entry process has exited. @return exit status, 128 + signal, or -1 on timeout */
int cluster_wait_node_exit(cluster_t *cluster, unsigned node, unsigned timeout_ms);
/** Deletes the data directory of a voter that is not running. */
void cluster_delete_data(cluster_t *cluster, unsigned node);

/** Sends a command to the relay. Fails the test when the relay rejects it. */
void cluster_relay_command(cluster_t *cluster, const char *command);
/** Returns the number of the relay link for connections that node `from` opens to the peer port of
 * node `to`. */
unsigned cluster_relay_link(const cluster_t *cluster, unsigned from, unsigned to);
/** Sends a relay command for all links between two data centres, in both directions.
 * @param command command without a link number, such as "cut" or "heal" */
void cluster_relay_data_centres(cluster_t *cluster, const char *command, const char *dc_a,
				const char *dc_b);

/** Changes the behaviour of targets with POST /behaviour of the emulator. Fails the test when no
 * target matches.
 * @param query targets and behaviour, such as "vm=barid-vm001&mode=killed" */
void cluster_set_behaviour(cluster_t *cluster, const char *query);
/** Gets the state of the targets from the emulator (GET /state).
 * @return new reference to an array of targets, or NULL on errors */
json_t *cluster_get_targets(cluster_t *cluster);

/** Returns the URL http://127.0.0.1:PORT of a node, in static memory that the fourth call after
 * this one overwrites. */
const char *cluster_url(const cluster_t *cluster, unsigned node);
/**
 * Sends an HTTP request and waits at most 10 s for the response.
 * @param method such as "GET" or "POST"
 * @param body JSON body, or NULL for none
 * @param status set to the HTTP status, or to 0 without a complete response; may be NULL
 * @return the JSON of the response (new reference), or NULL
 */
json_t *cluster_http(const char *method, const char *url, const char *path, const json_t *body,
		     long *status);
json_t *cluster_get(const cluster_t *cluster, unsigned node, const char *path, long *status);
json_t *cluster_post(const cluster_t *cluster, unsigned node, const char *path, const json_t *body,
		     long *status);

/** Polls a condition every 20 ms until it is true. @return false on timeout */
bool cluster_wait_until(bool (*condition)(void *arg), void *arg, unsigned timeout_ms);

/**
 * Starts the load tool, which sends requests to all entry processes.
 * @param name name of its files in the temporary directory: the journal NAME.journal and the
 * summary NAME.json
 * @param args further arguments, terminated by NULL
 * @return pid of the load tool
 */
pid_t cluster_load_start(cluster_t *cluster, const char *name, const char *const *args);
/** Waits until the load tool has exited. Fails the test on timeout.
 * @return the JSON of its summary (new reference) */
json_t *cluster_load_wait(cluster_t *cluster, const char *name, pid_t pid, unsigned timeout_ms);
/**
 * Runs the command line program "lavenderpass" and waits until it has exited.
 * @param args arguments, terminated by NULL
 * @param output set to what the program printed, to be freed with g_free(); may be NULL
 * @return exit status, 128 + signal, or -1 after 60 s
 */
int cluster_run_cli(cluster_t *cluster, const char *const *args, char **output);

/** Reads a journal, a file of JSON lines; an incomplete last line is ignored.
 * @return new reference to an array, which is empty when the file cannot be read */
json_t *cluster_read_journal(const char *file);
/** Returns the path of a file in the temporary directory, to be freed with g_free(). */
char *cluster_path(const cluster_t *cluster, const char *name);
