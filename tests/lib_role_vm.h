#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "http_client.h"
#include "lib_roles.h"

/**
 * @file
 * A VM and a client for integration tests of the platform roles, in the event loop of the test. The
 * VM starts what it is told to, after a time, and runs end only when they are stopped.
 */

#define ROLE_VM_CPU_MILLI 64000
/** Connections that the VM takes. */
#define ROLE_VM_CONNECTIONS 64
#define ROLE_VM_STOP_MS 180

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t started_us;
	uint64_t stopped_us; /**< time when the run has stopped; 0: it was not told to stop */
} role_vm_run_t;

typedef struct {
	struct tevent_context *ev;
	http_client_t client;
	roles_t *roles;
	GArray *runs;		  /**< of role_vm_run_t */
	uint32_t start_answer_ms; /**< time that a start takes */
	unsigned start_count;
	uint64_t first_start_us;
	uint64_t last_start_us;
	unsigned most_pending; /**< most start and stop requests at the VM at the same time */
} role_vm_t;

/** The VM of the test, of which there is one. */
extern role_vm_t role_vm;

/** Starts the VM, which reports to the core processes. @return 0, or -1 */
int role_vm_start(roles_t *roles);
void role_vm_stop(void);
/** Runs the event loop until the time. */
void role_vm_run_until(uint64_t end_us);
/**
 * Makes a client's call at the edge process, and waits for the response.
 * @param body NULL: none; its reference is taken over
 * @return the status
 */
unsigned role_vm_call_edge(const char *method, const char *job, json_t *body);
/** Submits a job with one step. Fails the test if it is not accepted. */
void role_vm_submit(const char *job, unsigned count, unsigned cpu_milli, bool gang);
/** @return whether a task of the job has been started */
bool role_vm_has_started(const char *job);
