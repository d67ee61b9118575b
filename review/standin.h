#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "http_server.h"

#define CORES 3
#define EDGES 2
#define PROCESSES (CORES + EDGES)
#define WORKERS_MAX 24
#ifndef US_PER_MS
#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL
#endif

/* A process of lavenderpass. */
typedef struct {
	pid_t pid;
	bool core;
	bool started;
	char name[32];
	char ip[32];
	char zone[16];
	char settings[128];
	char data_dir[128];
} process_t;

typedef struct worker {
	http_server_t server;
	bool up;
	char ip[32];
	char id[32];
	char machine[32];
	char service[32];
	char kind[16];
	char rack[16];
	char zone[16];
	uint64_t cpu;
	uint64_t mem;
	unsigned life; /* number of its lives under this id */
	uint64_t started_us;
	uint64_t born_ms;
	uint64_t seq;
	uint64_t fence;
	uint64_t lease_us;
	bool lease_lapsed;
	uint64_t last_number;
	bool draining;
	bool drain_acked;
	uint64_t cut_until_us; /* until then it is cut off from all machines, and runs on */
	unsigned beat_core;
	uint64_t beat_due_us;
	uint64_t first_beat_after_ms;
	bool beat_in_flight;
	bool in_wave;
	uint64_t upkeep_until_us; /* its machine is down for upkeep until then */
	bool proxied; /* its calls to the core go through the proxy */
	unsigned acked_beats;
	unsigned acked_life;
	const char *checkpoint;
	bool log_runs;
	bool log_holds;
	void (*on_start)(struct worker *worker);
	GArray *running;
	GArray *ends;
	GHashTable *highest;
} worker_t;

/* A run of a task, as its worker saw it. */
typedef struct {
	char task[80];
	uint32_t run;
	worker_t *worker;
	unsigned life;
	uint64_t start_us;
	uint64_t end_us; /* 0: it runs */
	const char *how;
	uint64_t number;
	bool noted;
	bool lapsed_since; /* the lease lapsed before the end was taken note of */
} run_record_t;

/* What a run of a task needs and does; given by each case. */
typedef struct {
	uint32_t cpu;
	uint32_t mem;
	uint64_t length_ms; /* of a run, or of the startup of a task that lasts */
	const char *how;
	bool lasts;
} task_traits_t;

typedef bool (*case_fn)(void); /* returns false when the case could not run */
typedef void (*reply_fn)(void *arg, unsigned status, const json_t *body);

extern struct tevent_context *ev;
extern worker_t workers[WORKERS_MAX];
extern unsigned worker_count;
extern bool trouble;
extern process_t processes[PROCESSES];

/* cases.c */
case_fn find_case(const char *name);
task_traits_t task_traits(const char *task, uint32_t run);

/* standin.c */
uint64_t elapsed_ms(void);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void report_broken(const char *rule, const char *format, ...) __attribute__((format(printf, 2, 3)));
unsigned broken_count(void);
process_t *leader_process(void);
void signal_process(process_t *process, int signum);
void send_call(const char *method, const char *address, const char *path, const char *host,
	       json_t *body, uint32_t timeout_ms, reply_fn fn, void *arg);
void judge_runs(unsigned attempts);
unsigned count_runs(const char *job, const char *how);
unsigned count_active(const worker_t *worker, const char *job);
worker_t *add_worker(const char *service, const char *kind, const char *rack);
void start_worker(worker_t *worker);
void end_worker(worker_t *worker, const char *how);
json_t *beat_body(worker_t *worker);
void put_instance(unsigned core, const char *id, json_t *body, reply_fn fn, void *arg);
void delete_instance(worker_t *worker, unsigned core, reply_fn fn, void *arg);
void proxy_address(unsigned core, char out[32]);
void start_proxy(void);
void set_proxy_cut(bool cut);
bool start_wave(int number, const char *const *machines, size_t count, int duration_s, int max_count);
unsigned wave_state(int number, char state[16]);
bool has_room(const worker_t *worker, uint64_t cpu, uint64_t mem);
uint64_t not_running_since_us(const char *task);
bool put_config(json_t *config, unsigned timeout_ms);
json_t *make_config(int version, const char *const *routes, size_t route_count, const char *service,
		    int attempts);
uint64_t case_start_us(void);
void send_config(json_t *config, reply_fn fn, void *arg);
void send_client_job(const char *prefix, const char *id, json_t *body, reply_fn fn, void *arg);
bool submit_job(const char *prefix, const char *id, json_t *body, unsigned timeout_ms);
unsigned job_state(const char *prefix, const char *id, char state[16]);
void run_for(uint64_t ms);
bool run_until(bool (*reached)(void *arg), void *arg, uint64_t timeout_ms);
