#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "json_reply.h"
#include "mono_timer.h"

#define CORES 3
#define EDGES_MAX 7
#define NODES_MAX (CORES + EDGES_MAX) /* core processes, then edge processes */
#define WORKERS_MAX 160
#define HOST "app.example"
#define PREFIX "/work7/"
#define BATCH_PREFIX "/batch3/"
#define SERVICE "siteplan4"

typedef enum {
	PLAY_HELD,
	PLAY_BROKEN,
	PLAY_FAILED
} play_result_t;

typedef struct {
	char id[20];
	const char *prefix;
	char spec[64];
	unsigned dur_ms; /* how long a task works */
	unsigned count;	 /* tasks of its one step */
	bool gang;
	bool lasts;
	json_t *body;
	unsigned tries;
	unsigned answer;
	bool accepted;
	uint64_t accepted_ms;
	bool asked;
	unsigned state_status;
	char state[16];
	unsigned starts;       /* runs that workers have begun */
	unsigned failed_ends;  /* ends `failed` */
	uint32_t failed_run;   /* latest run number with such an end */
	unsigned failed_gangs; /* run numbers with such an end */
	unsigned done_ends;
} job_t;

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t started_us;
	uint64_t work_us;   /* since when it works; 0: a gang that waits for its members */
	uint64_t broken_us; /* when it ends because another member has ended; 0: never */
	job_t *job;
} run_t;

typedef struct {
	uint64_t number;
	char task[80];
	uint32_t run;
	const char *how;
} end_t;

typedef struct worker worker_t;

typedef struct {
	worker_t *worker;
	http_request_t *request;
	uint64_t until_us;
} wait_t;

struct worker {
	unsigned index;
	char id[24];
	char machine[24];
	char ip[32];
	char rack[16];
	unsigned zone;
	bool dark; /* has no power: it answers nothing */
	bool grey; /* fails all that it starts */
	http_server_t server;
	uint64_t born_ms;
	uint64_t clock_us;
	uint64_t seq;
	uint64_t fence;
	uint64_t lease_until_us;
	uint64_t last_end;
	GArray *runs;	  /* run_t */
	GArray *ends;	  /* end_t that were not acknowledged */
	GHashTable *over; /* task -> highest run that was stopped or has ended there */
	GPtrArray *waits; /* wait_t */
	bool beating;	  /* a heartbeat is in flight */
	unsigned beats_acked;
	char beat_addr[64];
	unsigned beat_core;
};

typedef struct {
	unsigned cpu; /* thousandths of a core */
	unsigned mem_mb;
	unsigned rack_size;
} worker_spec_t;

typedef struct {
	struct tevent_context *ev;
	http_client_t client;
	FILE *record;
	char *dir;
	uint64_t started_us;
	unsigned network;
	unsigned port;
	unsigned edges; /* edge processes to start; clients call the last one */
	pid_t pids[NODES_MAX];
	json_t *config;
	bool configured;
	unsigned config_core;
	GPtrArray *jobs;
	worker_t workers[WORKERS_MAX];
	unsigned worker_count;
	worker_spec_t spec;
	http_server_t platform;
	http_server_t policy;
	GQueue advise_queue;
	bool advising;
	/* Whether the policy allows the worker for the job; NULL: it allows all. */
	bool (*allows)(const job_t *job, const worker_t *worker);
	bool needs_ticket;
} play_t;

extern play_t play;

typedef void (*call_fn)(void *arg, unsigned status, const json_t *body,
			const http_call_result_t *result);

uint64_t play_ms(void);
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);
void start_node(unsigned node, bool bootstrap);
void kill_node(unsigned node);
void call(const char *method, const char *address, const char *path, const char *host, json_t *body,
	  uint32_t timeout_ms, call_fn done, void *arg);
void later(uint64_t ms, void (*fn)(void *arg), void *arg);
void run_for(uint64_t ms);
bool configure(json_t *config, uint64_t ms);
json_t *make_config(unsigned version, const char *service, unsigned attempts, json_t *advice);
job_t *submit(json_t *step, unsigned dur_ms, const char *spec);
job_t *submit_to(const char *prefix, json_t *step, unsigned dur_ms, const char *spec);
job_t *find_job(const char *task);
void ask_states(void);
int64_t ask_pending(void);
unsigned cancel(job_t *job);
bool start_all(json_t *config, unsigned workers, const worker_spec_t *spec);

/* workers.c */
bool start_worker(unsigned index, const worker_spec_t *spec);
/** The worker's machine loses power: it does not answer any more. */
void darken(worker_t *worker);
/** The worker loses power, and starts again under its id after down_ms. */
void restart(worker_t *worker, uint64_t down_ms);

/* services.c */
bool start_services(void);

/* cases.c */
play_result_t case_advice(bool trouble);
play_result_t case_pending(bool trouble);
play_result_t case_gang(bool trouble);
play_result_t case_frozen_edge(bool trouble);
play_result_t case_removed_route(bool trouble);
play_result_t case_full_service(bool trouble);
