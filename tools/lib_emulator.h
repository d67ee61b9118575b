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
 * State of the emulator: targets, their tasks, and the platform's view of their VMs. One lock
 * guards everything; functions that need it held say so.
 */

/** How a target behaves; set through the control port. */
typedef enum {
	MODE_NORMAL,
	MODE_SLOW,	  /**< service time of mode_ms */
	MODE_FAIL,	  /**< runs, answers 500; tasks fail */
	MODE_REFUSE,	  /**< answers 503 with not-run, runs nothing */
	MODE_SILENT,	  /**< reads requests, runs nothing, never answers */
	MODE_SILENT_OPEN, /**< connections open now go silent for ever; new ones work */
	MODE_TRUNCATE,	  /**< runs, ends the connection within the body */
	MODE_WRONG_ID,	  /**< runs, echoes another request id */
	MODE_CLOSE,	  /**< runs, closes the connection without an answer */
	MODE_MUTE,	  /**< stops announcing, serves as usual */
	MODE_LEAVING,	  /**< announces leaving, refuses new work */
	MODE_KILLED,	  /**< process gone: requests lost, connections refused */
	MODE_COUNT,
} behaviour_t;

typedef enum {
	VM_RUNNING,
	VM_DRAINING,
	VM_DRAINED,
	VM_REBOOTING,
} vm_state_t;

/** Values of a task's state in announcements (TaskUsage in peer.proto). */
typedef enum {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
} task_state_t;

typedef struct {
	char *job;
	uint32_t attempt;
	task_state_t state;
	uint32_t cores;
	uint32_t mem_mib;
	uint64_t run_time_ms; /**< actual */
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t lease_end_us;
	const char *result;
	bool fails;
	bool throttled;
} task_t;

/** One connection of a client to a target, the platform or the control port. */
typedef struct {
	struct target *target; /**< NULL: platform or control */
	bool platform;
	bool silent;
	int fd;
} conn_t;

typedef struct target {
	char *vm;
	const char *data_centre;
	char *rack;
	const char *pool; /**< pool hint until an answer tells the pool; then told_pool */
	char *told_pool;
	uint16_t port;
	int listen_fd; /**< -1 while not listening */

	behaviour_t mode;
	behaviour_t after_reboot; /**< mode once the next reboot is over */
	uint32_t mode_ms;
	uint32_t generation; /**< raised when the process dies */
	uint32_t in_flight;
	uint64_t served;
	uint64_t refused;
	GPtrArray *conns;  /**< conn_t */
	GPtrArray *parked; /**< requests that are never answered */
	GPtrArray *tasks;  /**< task_t */

	uint64_t epoch; /**< newest epoch told; 0: none */
	bool cordoned;

	vm_state_t vm_state;
	char *image;
	char *next_image;
	char *last_op;
	uint64_t reboot_end_us;

	uint64_t announce_due_us;
	bool announcing;
	unsigned next_entry;
} target_t;

typedef struct {
	unsigned targets;
	unsigned first_port;
	const char *address;
	const char *organisation;
	const char *vm_prefix;
	char **data_centres;
	char **pools;
	unsigned rack_size;
	GHashTable *entries; /**< data centre -> char ** of IP:port */
	unsigned platform_port;
	unsigned control_port;
	unsigned service_ms;
	unsigned reboot_ms;
	unsigned announce_ms;
	unsigned cores;
	unsigned mem_mib;
	unsigned accelerators;
	unsigned slots;
	unsigned connections;
	unsigned threads;
	const char *image;
	const char *journal;
	const char *token; /**< bearer token of announcements, or NULL */
} emulator_options_t;

typedef struct {
	emulator_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t wake; /**< the timer thread's */
	target_t *targets;
	unsigned count;
	GSequence *timers; /**< requests by the end of their service */
	GHashTable *ops;   /**< operation ids the platform has seen */
	behaviour_t platform_mode;
	GPtrArray *platform_parked;
	FILE *journal;
	struct MHD_Daemon *daemon;
	int epoll_fd;
} emulator_t;

/** One HTTP request. */
typedef struct {
	struct MHD_Connection *connection;
	conn_t *conn;
	target_t *target;
	GByteArray *body;
	char *method;
	char *path;
	char *id;
	char *key;
	uint64_t epoch;
	uint32_t generation;
	uint64_t end_us;
	behaviour_t mode; /**< when it was accepted */
	bool received;
	bool resumed;
	bool drop; /**< close the connection without an answer */
} request_t;

/** What to answer. The body is owned by the answer. */
typedef struct {
	unsigned status;
	char *body;
} answer_t;

/* --- lib_target.c --- */
int emulator_init(emulator_t *emu, const emulator_options_t *options);
const char *behaviour_name(behaviour_t mode);
/** @return MODE_COUNT when unknown */
behaviour_t behaviour_parse(const char *name);
/** Lock held. */
bool target_leaving(const target_t *target);
/** Lock held. Ends the process: loses requests and tasks, closes connections and the listener. */
void target_kill(emulator_t *emu, target_t *target);
/** Lock held. */
void target_set_mode(emulator_t *emu, target_t *target, behaviour_t mode, uint32_t mode_ms);
/** Lock held. Ends reboots that are due, and reopens listeners. */
void target_tick(emulator_t *emu, target_t *target, uint64_t now_us);
target_t *target_find(emulator_t *emu, const char *vm);
/** Lock held. One journal line. */
void journal_write(emulator_t *emu, const char *event, const request_t *request);

/* --- lib_task.c; lock held --- */
answer_t task_call(emulator_t *emu, target_t *target, const char *action, const char *body,
		   size_t length);
void task_tick(target_t *target, uint64_t now_us);
unsigned task_running(const target_t *target);
/** Usage as announced. */
json_t *task_report(const target_t *target, uint64_t now_us);
/** Extends a task's lease. */
void task_renew(target_t *target, const char *job, uint32_t attempt, uint64_t lease_ms);
void task_free(gpointer pointer);

/* --- lib_platform.c; lock held --- */
answer_t platform_call(emulator_t *emu, request_t *request);
answer_t control_call(emulator_t *emu, request_t *request);

/* --- lib_announce.c --- */
/** Announces all targets; does not return. */
void *announce_run(void *emulator);

/* --- lib_serve.c --- */
/** Starts the HTTP daemon and opens the listeners. @return 0 or -1 */
int emulator_serve(emulator_t *emu);
/** Lock held. @return 0 or -1 */
int target_listen(emulator_t *emu, target_t *target);
/** Accepts connections; does not return. */
void *accept_run(void *emulator);
/** Ends requests whose service time is over; does not return. */
void *timer_run(void *emulator);
