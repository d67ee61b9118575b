#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/**
 * @file
 * Stand-ins of the third review: the system's own processes on loopback addresses, workers, the
 * platform, the policy service, one operator and clients. They follow the pages PROTOCOL.md and
 * DEPLOY.md.
 */

#define CORES 3
#define WORKERS_MAX 16

/** What the workers, the policy service and the settings of a case are like. */
typedef struct {
	unsigned workers;
	unsigned racks;	   /**< the workers are spread over so many racks; 0: one */
	int64_t cpu_milli; /**< capacity of a worker */
	int64_t mem_mib;
	unsigned answer_ms;	/**< time that a worker takes to answer a start or a stop */
	unsigned stop_ms;	/**< time that a stop takes */
	bool stop_waits;	/**< a stop is answered once it has taken place */
	unsigned decide_ms;	/**< policy service: time for a call */
	unsigned per_worker_ms; /**< and for each worker named in it */
	bool drops_calls;	/**< it leaves out calls whose caller has hung up */
	unsigned valid_ms;	/**< validity of a ticket */
	double tail_ms;		/**< tail of a task that serves, alone on its worker */
	double disturb_ms;	/**< what each task that fills adds to it at full pace */
	unsigned ticket_length; /**< characters of a ticket */
} fleet_config_t;

/** A job that a client has handed in, and what it has seen of it. */
typedef struct {
	char id[17];
	const char *prefix;
	json_t *steps;
	unsigned work_ms;     /**< time that a task takes */
	bool advised;	      /**< its starts need a ticket */
	int status;	      /**< of the latest submission */
	uint64_t accepted_us; /**< 0: not accepted */
	uint64_t cancel_us;   /**< time when its cancelling was acknowledged; 0: it was not */
	unsigned starts;
	unsigned done;
	unsigned running;
	uint64_t idle_since_us; /**< time since which none of its tasks runs */
	char state[16];		/**< as last read */
} play_job_t;

/** What was seen on the workers. */
typedef struct {
	unsigned starts;
	unsigned rejected;
	unsigned done;
	unsigned stopped;
	unsigned alone;
	unsigned lapsed;
	unsigned broken;
	unsigned twice;	     /**< a task had two runs at the same time */
	unsigned unasked;    /**< runs after the cancelling of their job, see RULES.md */
	uint64_t unasked_ms; /**< latest such run, after the acknowledgement */
	uint64_t harm_ms;    /**< longest time for which a task was over its goal on end */
	unsigned paces;
	unsigned advise_calls;
	unsigned advise_refused;
} fleet_seen_t;

extern fleet_seen_t seen;

/** Bounds that the settings of the processes name, in ms. */
enum {
	HOLD_MAX_MS = 10000,
	GANG_TIMEOUT_MS = 3000,
	CANCEL_MS = 3000,
	STOP_MS = 200,
	FINISH_MS = 14000,
	PACE_MS = 100,
	IMPACT_MS = 4000,
};

void record_line(const char *format, ...) G_GNUC_PRINTF(1, 2);
uint64_t now_us(void);
void sleep_ms(unsigned ms);

/** Starts everything. @return false: it could not be started */
bool fleet_start(const fleet_config_t *config, const char *record_path);
/** Ends the processes and closes the record. */
void fleet_stop(void);
/** Lets a worker crash; it does not come back. @param index from 0 */
void worker_crash(unsigned index);
/** @return number of a worker that runs a task of the job, or -1 */
int worker_of(const play_job_t *job);

/** Sends the configuration until it is acknowledged. */
bool operator_put_config(unsigned version, const char *const *prefixes, unsigned count,
			 bool advised);

/** Hands the job in. Its steps are owned by the job from then on. */
play_job_t *client_submit(const char *prefix, json_t *steps, unsigned work_ms, bool advised);
/** @return status of the response, 0: none */
int client_cancel(play_job_t *job);
int client_read(play_job_t *job);
