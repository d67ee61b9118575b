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
 * State of the emulator: the targets with their tasks, and their VMs as the platform sees them.
 * emulator_t.lock protects all of it, and is the lock that the comments on functions refer to.
 */

/** Behaviour of a target, set through the control port. */
typedef enum {
	MODE_NORMAL,
	MODE_SLOW,	  /**< runs requests with the service time slow_ms */
	MODE_FAIL,	  /**< runs requests but responds with status 500; tasks fail */
	MODE_REFUSE,	  /**< refuses requests with status 503 and outcome not-run */
	MODE_SILENT,	  /**< reads requests, but neither runs them nor responds */
	MODE_SILENT_OPEN, /**< as MODE_SILENT, but only on connections that are open when the mode
			     is set */
	MODE_TRUNCATE,	  /**< runs requests, but closes the connection midway through the response
			     body */
	MODE_WRONG_ID,	  /**< runs requests, but responds with the id of another request */
	MODE_CLOSE,	  /**< runs requests, but closes the connection without a response */
	MODE_MUTE,	  /**< serves requests, but sends no announcements */
	MODE_LEAVING,	  /**< announces that it leaves, and refuses new requests */
	MODE_KILLED, /**< the process has ended: requests are dropped and connections refused */
	MODE_COUNT,
} behaviour_t;

/** State of a target's VM, as the platform's HTTP API reports it. */
typedef enum {
	VM_RUNNING,
	VM_DRAINING,
	VM_DRAINED,
	VM_REBOOTING,
} vm_state_t;

/** State of a task, with the values of TaskUsage.state in peer.proto. */
typedef enum {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
} task_state_t;

/** An attempt of a job that runs or ran on a target. */
typedef struct {
	char *job; /**< id of the job */
	uint32_t attempt;
	task_state_t state;
	uint32_t cores;
	uint32_t mem_mib;
	uint64_t run_time_ms; /**< actual run time when not throttled; may differ from the declared
				 one */
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t lease_end_us;
	const char *result; /**< result shown in announcements; NULL while the task runs */
	bool will_fail;
	bool throttled; /**< whether the task runs at half speed, with half the cores */
} task_t;

/** A client's connection to a target, the platform port or the control port. */
typedef struct {
	struct target *target; /**< NULL for a connection to the platform or control port */
	bool platform;	       /**< whether this is a connection to the platform port */
	bool silent;	       /**< whether requests get no response, because of MODE_SILENT_OPEN */
	int fd;
} conn_t;

/** An emulated target and its VM. */
typedef struct target {
	char *vm; /**< id of the VM */
	const char *data_centre;
	char *rack;
	const char *pool_hint; /**< pool in announcements until an entry process assigns one */
	char *assigned_pool;   /**< pool in the latest announcement response, or NULL */
	uint16_t port;
	int listen_fd; /**< listening socket, or -1 while the target does not listen */

	behaviour_t mode;
	behaviour_t after_reboot; /**< mode after the next reboot */
	uint32_t slow_ms;	  /**< service time in MODE_SLOW */
	uint32_t generation;	  /**< incremented when the target's process dies, so that requests
				       accepted by the former process are recognised */
	uint32_t in_flight;
	uint64_t served;
	uint64_t refused;
	GPtrArray *conns;      /**< open connections (conn_t) */
	GPtrArray *unanswered; /**< suspended requests (request_t) that never get a response */
	GPtrArray *tasks;      /**< tasks (task_t), including recently ended ones */

	uint64_t epoch; /**< newest epoch received in a response to an announcement; 0 before the
			     first response */
	bool cordoned;

	vm_state_t vm_state;
	char *image;
	char *next_image; /**< image that the VM has after its reboot; NULL if unchanged */
	char *last_op;	  /**< id of the latest platform operation, or NULL */
	uint64_t reboot_end_us;

	uint64_t announce_due_us;
	bool announcing;     /**< whether an announcement is in progress */
	unsigned next_entry; /**< index of the entry process that gets the next announcement, in the
				  list for the target's data centre; modulo the length of the
				  list */
} target_t;

/** Command line options of the emulator. */
typedef struct {
	unsigned target_count;
	unsigned first_port; /**< port of target 0; target i listens on first_port + i */
	const char *address; /**< IP address of all listeners */
	const char *organisation;
	const char *vm_prefix;
	char **data_centres;
	char **pools;
	unsigned rack_size;	/**< number of targets per rack */
	GHashTable *entries;	/**< maps a data centre to its entry processes (char **, IP:port) */
	unsigned platform_port; /**< port of the platform's HTTP API; 0 for none */
	unsigned control_port;	/**< port of the control API; 0 for none */
	unsigned service_time_ms;
	unsigned reboot_duration_ms;
	unsigned announce_interval_ms;
	unsigned cores; /**< cores per target */
	unsigned mem_mib;
	unsigned accelerators;
	unsigned slots; /**< maximum number of requests in flight per target; further ones are
			     refused */
	unsigned max_connections; /**< maximum number of connections per target; requests on further
				       ones are refused */
	unsigned http_threads;
	const char *image;
	const char *journal_path; /**< path of the journal, or NULL for none */
	const char *token;	  /**< bearer token sent with announcements, or NULL for none */
} emulator_options_t;

typedef struct {
	emulator_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t timers_changed; /**< signalled when timers has a new first element */
	target_t *targets;
	unsigned target_count;
	GSequence *timers;    /**< requests (request_t) that targets are serving, sorted by
				 service_end_us */
	GHashTable *seen_ops; /**< set of operations that the platform has seen, as
				 "VM/action/operation id" */
	behaviour_t platform_mode;
	GPtrArray *platform_unanswered; /**< suspended requests (request_t) of the platform port
					   that never get a response */
	FILE *journal;
	struct MHD_Daemon *daemon;
	int epoll_fd; /**< epoll instance that watches the listening sockets */
} emulator_t;

/** An HTTP request to a target, the platform port or the control port. */
typedef struct {
	struct MHD_Connection *connection;
	conn_t *conn;
	target_t *target;
	GByteArray *body;
	char *method;
	char *path;
	char *id;	     /**< value of the Lavenderpass-Request-Id header, or NULL */
	char *key;	     /**< value of the Idempotency-Key header, or NULL */
	uint64_t epoch;	     /**< value of the Lavenderpass-Epoch header; 0 without one */
	uint32_t generation; /**< generation of the target when it accepted the request */
	uint64_t service_end_us;
	behaviour_t mode; /**< mode of the target when it accepted the request */
	bool dispatched;  /**< whether the whole request was passed to its handler */
	bool resumed;	  /**< whether its connection was suspended and has been resumed */
	bool drop;	  /**< whether to close the connection without a response */
} request_t;

/** Status and JSON body of a response. The receiver frees the body with free(). */
typedef struct {
	unsigned status;
	char *body;
} response_t;

/* --- lib_target.c --- */
/** Creates the targets and opens the journal. @return 0, or -1 on failure */
int emulator_init(emulator_t *emu, const emulator_options_t *options);
const char *behaviour_name(behaviour_t mode);
/** Finds the behaviour with the given name. @return MODE_COUNT if there is none */
behaviour_t behaviour_parse(const char *name);
/** Whether the target announces that it leaves, because of its mode or for maintenance. The caller
 * must hold the lock. */
bool target_is_leaving(const target_t *target);
/** Ends the target's process: drops its requests and tasks, and closes its sockets. The caller must
 * hold the lock. */
void target_kill(emulator_t *emu, target_t *target);
/** Sets the behaviour of a target. The caller must hold the lock. @param slow_ms service time in
 * MODE_SLOW */
void target_set_mode(emulator_t *emu, target_t *target, behaviour_t mode, uint32_t slow_ms);
/** Advances the target's tasks, draining and reboot to the time now_us. Opens the listener again if
 * needed. The caller must hold the lock. */
void target_update(emulator_t *emu, target_t *target, uint64_t now_us);
/** Finds a target by the id of its VM. @return NULL if there is none */
target_t *target_find(emulator_t *emu, const char *vm);
/** Appends a line about an event of a request to the emulator's journal, if there is one. The
 * caller must hold the lock. */
void journal_write_event(emulator_t *emu, const char *event, const request_t *request);

/* --- lib_task.c; callers must hold the lock --- */
/** Handles a request to start, stop, checkpoint or throttle a task. The caller must hold the lock.
 * @param body JSON of the request */
response_t task_handle_request(emulator_t *emu, target_t *target, const char *action,
			       const char *body, size_t length);
/** Ends tasks that are complete or whose lease has expired, and removes tasks that ended a while
 * ago. The caller must hold the lock. */
void target_update_tasks(target_t *target, uint64_t now_us);
unsigned target_count_running_tasks(const target_t *target);
/** Returns the target's tasks as announcements list them (new reference). The caller must hold the
 * lock. */
json_t *target_task_usage(const target_t *target, uint64_t now_us);
/** Extends the lease of a running task to lease_ms from now. Unknown tasks are ignored. The caller
 * must hold the lock. */
void task_renew_lease(target_t *target, const char *job, uint32_t attempt, uint64_t lease_ms);
/** Frees a task_t; implements GDestroyNotify. */
void task_free(gpointer pointer);

/* --- lib_platform.c; callers must hold the lock --- */
response_t platform_handle_request(emulator_t *emu, request_t *request);
response_t control_handle_request(emulator_t *emu, request_t *request);

/* --- lib_announce.c --- */
/** Thread function: sends the announcements of all targets and calls target_update() for them.
 * @param emulator the emulator_t */
void *announce_thread(void *emulator);

/* --- lib_serve.c --- */
/** Starts the HTTP server and opens all listeners. @return 0, or -1 on failure */
int emulator_start_http(emulator_t *emu);
/** Opens the listener of a target. The caller must hold the lock, unless the emulator's threads
 * have not started yet.
 * @return 0, or -1 on failure */
int target_open_listener(emulator_t *emu, target_t *target);
/** Thread function: accepts connections on all listeners. @param emulator the emulator_t */
void *accept_thread(void *emulator);
/** Thread function: responds to requests when their service time ends. @param emulator the
 * emulator_t */
void *timer_thread(void *emulator);
