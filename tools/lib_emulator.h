#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

/**
 * @file
 * The emulator's state: targets, their tasks and their VMs as the platform sees them.
 * emulator_t.lock protects all of it. Functions marked "Lock held" must be called with the lock.
 */

/** Behaviour of a target, set through the control port. */
typedef enum {
	MODE_NORMAL,
	MODE_SLOW,	  /**< the service time is slow_ms */
	MODE_FAIL,	  /**< runs requests and responds with status 500; tasks fail */
	MODE_REFUSE,	  /**< responds with 503 and outcome not-run */
	MODE_SILENT,	  /**< reads requests, but does not run them or respond */
	MODE_SILENT_OPEN, /**< as MODE_SILENT, on the connections open now; new ones work */
	MODE_TRUNCATE,	  /**< runs requests, closes the connection midway through the body */
	MODE_WRONG_ID,	  /**< runs requests, responds with another request id */
	MODE_CLOSE,	  /**< runs requests, closes the connection without a response */
	MODE_MUTE,	  /**< serves requests, but sends no announcements */
	MODE_LEAVING,	  /**< announces that it leaves, refuses new requests */
	MODE_KILLED,	  /**< process ended: drops requests, refuses connections */
	MODE_COUNT,
} behaviour_t;

/** State of a target's VM on the platform's HTTP API. */
typedef enum {
	VM_RUNNING,
	VM_DRAINING,
	VM_DRAINED,
	VM_REBOOTING,
} vm_state_t;

/** State of a task; same values as TaskUsage.state in peer.proto. */
typedef enum {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
} task_state_t;

/** One attempt of a job that runs or ran on a target. */
typedef struct {
	char *job; /**< id of the job */
	uint32_t attempt;
	task_state_t state;
	uint32_t cores;
	uint32_t mem_mib;
	uint64_t run_time_ms; /**< actual run time, unthrottled; may differ from the declared one */
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t lease_end_us;
	const char *result; /**< result text in announcements; NULL while running */
	bool will_fail;
	bool throttled; /**< runs at half speed with half the cores */
} task_t;

/** One connection of a client to a target, the platform or the control port. */
typedef struct {
	struct target *target; /**< NULL: connection to the platform or control port */
	bool platform;	       /**< to the platform port */
	bool silent;	       /**< set by MODE_SILENT_OPEN */
	int fd;
} conn_t;

/** An emulated target and its VM. */
typedef struct target {
	char *vm; /**< VM id */
	const char *data_centre;
	char *rack;
	const char *pool_hint; /**< announced until an entry process assigns a pool */
	char *assigned_pool;   /**< pool from the latest announcement response, or NULL */
	uint16_t port;
	int listen_fd; /**< -1 while not listening */

	behaviour_t mode;
	behaviour_t after_reboot; /**< mode after the next reboot */
	uint32_t slow_ms;	  /**< service time in MODE_SLOW */
	uint32_t generation; /**< incremented when the process dies; marks its requests as old */
	uint32_t in_flight;
	uint64_t served;
	uint64_t refused;
	GPtrArray *conns;      /**< conn_t */
	GPtrArray *unanswered; /**< suspended request_t that never get a response */
	GPtrArray *tasks;      /**< task_t */

	uint64_t epoch; /**< newest epoch from an announcement response; 0: none */
	bool cordoned;

	vm_state_t vm_state;
	char *image;
	char *next_image; /**< image after the reboot; NULL: unchanged */
	char *last_op;	  /**< id of the latest platform operation, or NULL */
	uint64_t reboot_end_us;

	uint64_t announce_due_us;
	bool announcing;     /**< an announcement is in progress */
	unsigned next_entry; /**< entry process for the next announcement, modulo their number */
} target_t;

/** Command line options. */
typedef struct {
	unsigned target_count;
	unsigned first_port; /**< target i listens on first_port + i */
	const char *address; /**< IP address of all listeners */
	const char *organisation;
	const char *vm_prefix;
	char **data_centres;
	char **pools;
	unsigned rack_size;	/**< targets per rack */
	GHashTable *entries;	/**< data centre -> char ** of entry processes, IP:port */
	unsigned platform_port; /**< 0: none */
	unsigned control_port;	/**< 0: none */
	unsigned service_time_ms;
	unsigned reboot_duration_ms;
	unsigned announce_interval_ms;
	unsigned cores; /**< per target */
	unsigned mem_mib;
	unsigned accelerators;
	unsigned slots;		  /**< requests in flight, above which a target refuses more */
	unsigned max_connections; /**< per target; above it, requests are refused */
	unsigned http_threads;
	const char *image;
	const char *journal_path; /**< or NULL */
	const char *token;	  /**< bearer token of announcements, or NULL */
} emulator_options_t;

typedef struct {
	emulator_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t timers_changed; /**< signalled if the first timer is a new one */
	target_t *targets;
	unsigned target_count;
	GSequence *timers;    /**< request_t being served, sorted by service_end_us */
	GHashTable *seen_ops; /**< set of "VM/action/operation id" that the platform has seen */
	behaviour_t platform_mode;
	GPtrArray *platform_unanswered; /**< suspended request_t of the platform port */
	FILE *journal;
	struct MHD_Daemon *daemon;
	int epoll_fd; /**< watches the listeners */
} emulator_t;

/** One HTTP request. */
typedef struct {
	struct MHD_Connection *connection;
	conn_t *conn;
	target_t *target;
	GByteArray *body;
	char *method;
	char *path;
	char *id;	     /**< Lavenderpass-Request-Id header, or NULL */
	char *key;	     /**< Idempotency-Key header, or NULL */
	uint64_t epoch;	     /**< Lavenderpass-Epoch header; 0: none */
	uint32_t generation; /**< the target's generation when it accepted the request */
	uint64_t service_end_us;
	behaviour_t mode; /**< the target's mode when it accepted the request */
	bool dispatched;  /**< received whole and passed to its handler */
	bool resumed;	  /**< its connection was suspended and is resumed */
	bool drop;	  /**< close the connection without a response */
} request_t;

/** Status and JSON body of a response; the receiver frees the body with free(). */
typedef struct {
	unsigned status;
	char *body;
} response_t;

/* --- lib_target.c --- */
/** Creates the targets and opens the journal. @return 0 or -1 */
int emulator_init(emulator_t *emu, const emulator_options_t *options);
const char *behaviour_name(behaviour_t mode);
/** @return MODE_COUNT if no behaviour has that name */
behaviour_t behaviour_parse(const char *name);
/** Lock held. True if the target announces that it leaves: by its mode or for maintenance. */
bool target_is_leaving(const target_t *target);
/** Lock held. Ends the target's process: drops requests and tasks, closes all its sockets. */
void target_kill(emulator_t *emu, target_t *target);
/** Lock held. Changes the behaviour. @param slow_ms service time in MODE_SLOW */
void target_set_mode(emulator_t *emu, target_t *target, behaviour_t mode, uint32_t slow_ms);
/** Lock held. Advances tasks, draining and reboots to now_us; reopens the listener if needed. */
void target_update(emulator_t *emu, target_t *target, uint64_t now_us);
/** Finds a target by VM id. @return NULL if there is none */
target_t *target_find(emulator_t *emu, const char *vm);
/** Lock held. Appends a line about a request to the journal, if there is one. */
void journal_write_event(emulator_t *emu, const char *event, const request_t *request);

/* --- lib_task.c; lock held --- */
/** Handles a request to start, stop, checkpoint or throttle a task. @param body JSON */
response_t task_handle_request(emulator_t *emu, target_t *target, const char *action,
			       const char *body, size_t length);
/** Ends tasks that are complete or whose lease has expired; removes old ended ones. */
void target_update_tasks(target_t *target, uint64_t now_us);
unsigned target_count_running_tasks(const target_t *target);
/** Returns the list of tasks for announcements. */
json_t *target_task_usage(const target_t *target, uint64_t now_us);
/** Extends the lease of a running task to lease_ms from now; ignores unknown tasks. */
void task_renew_lease(target_t *target, const char *job, uint32_t attempt, uint64_t lease_ms);
/** Frees a task_t; a GDestroyNotify. */
void task_free(gpointer pointer);

/* --- lib_platform.c; lock held --- */
response_t platform_handle_request(emulator_t *emu, request_t *request);
response_t control_handle_request(emulator_t *emu, request_t *request);

/* --- lib_announce.c --- */
/** Thread function, emulator_t *: announces all targets and updates their state. */
void *announce_thread(void *emulator);

/* --- lib_serve.c --- */
/** Starts the HTTP server and opens the listeners. @return 0 or -1 */
int emulator_start_http(emulator_t *emu);
/** Opens the target's listener. Lock held, unless no thread runs yet. @return 0 or -1 */
int target_open_listener(emulator_t *emu, target_t *target);
/** Thread function, emulator_t *: accepts connections on all listeners. */
void *accept_thread(void *emulator);
/** Thread function, emulator_t *: responds to requests at the end of their service time. */
void *timer_thread(void *emulator);
