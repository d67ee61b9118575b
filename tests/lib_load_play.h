#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "lib_vm_sim.h"

/**
 * @file
 * Plays a load on the simulated fleet, and reports what the clients got: the share of the jobs that
 * were complete within their objective by second of submission, and what it cost. The services
 * surge by turns, as the users' queues do.
 */

/** Most services of a played load. */
#define LOAD_SERVICES_MAX 4
/** Most organisations of a played load. */
#define LOAD_ORGANISATIONS_MAX 20
/** Time for which a crashed machine is down. */
#define LOAD_CRASH_MS 300

/** The jobs of one service: steps of equal tasks that run one after another. */
typedef struct {
	double rate_per_s; /**< mean number of jobs a second */
	unsigned steps;	   /**< 1 to 3 */
	uint32_t tasks;	   /**< number of tasks of a step */
	uint32_t cpu_milli;
	uint32_t task_ms;
} load_service_t;

typedef struct {
	unsigned services;
	unsigned vms_per_service;
	unsigned standby_vms;
	uint32_t platform_requests_per_s;
	load_service_t service[LOAD_SERVICES_MAX];
	uint32_t turn_ms; /**< duration of a service's surge; the services surge one after another,
			     and the first begins at 0 */
	double surge;	  /**< rate in a surge, as a multiple of the mean */
	double between;	  /**< rate outside the surges, as a multiple of the mean */
	double declared_error; /**< standard deviation of the logarithm of declared to true times */
	bool declared_times;   /**< the leader takes run times as declared */
	uint32_t burst_ms;     /**< start of a burst of all services; 0: none */
	uint32_t burst_for_ms;
	double burst; /**< rate in the burst, as a multiple of that without it */
	/** Organisations, each with a part of the jobs of every service that follows its weight. */
	uint32_t weights[LOAD_ORGANISATIONS_MAX];
	unsigned organisations; /**< 0: none */
	uint32_t hot_ms;	/**< time from which organisation 0 sends more; 0: never */
	uint32_t hot_for_ms;
	double hot; /**< rate of organisation 0 in that time, as a multiple of its usual */
	uint32_t duration_ms;  /**< time in which jobs are submitted */
	uint32_t long_running; /**< number of long-running tasks, of one job of the first service
				  that is submitted before the others */
	uint32_t crash_ms;     /**< time at which a VM with a long-running task crashes; its machine
				  is up again after LOAD_CRASH_MS; 0: none */
	vm_sim_processor_t processor;
	uint64_t seed;
} load_play_t;

typedef struct {
	unsigned jobs;
	unsigned in_time;	  /**< jobs complete within their objective */
	unsigned late;		  /**< jobs complete within three times their objective */
	unsigned ended;		  /**< jobs complete 30 s after the last submission */
	double in_time_share;	  /**< share of the declared work that belongs to jobs in time */
	GArray *others_by_second; /**< like by_second, without the jobs of organisation 0 */
	/** Number of jobs of each organisation, and how many of them were in time. */
	unsigned org_jobs[LOAD_ORGANISATIONS_MAX];
	unsigned org_in_time[LOAD_ORGANISATIONS_MAX];
	GArray *by_second; /**< element N, a double: in_time_share of the jobs submitted in
			      second N; -1 when there were none */
	double machine_s;  /**< seconds of switched-on machines, up to duration_ms */
	uint64_t moves;
	double longest_late_s; /**< longest time from the submission of a job to its end */
	double busy_share;     /**< share of the time up to duration_ms in which the leader was
				  busy */
	double longest_wait_s; /**< longest time for which an event has waited for the leader */
	double restart_s; /**< time from the crash until all long-running tasks ran again; -1: they
			     did not */
	char *violations; /**< of the guarantees that the simulated fleet checks; "": none */
} load_result_t;

/**
 * 170 machines, whose four pools surge by turns of 4 s to about a third of the fleet, for 40 s.
 */
extern const load_play_t load_turns;

/** Plays the load. load_result_finish() frees what the result refers to. */
void load_play(const load_play_t *play, load_result_t *result);
void load_result_finish(load_result_t *result);
/** @return in_time_share over the seconds from first to last, each weighted alike */
double load_share_between(const load_result_t *result, unsigned first, unsigned last);
