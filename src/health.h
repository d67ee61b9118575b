#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"

/**
 * @file
 * What announcements and reports of requests say about targets. Not replicated; each process has
 * its own view, the leader's is fed by all processes. Pure.
 */

/** A target's entry. */
typedef struct {
	char *vm;
	uint64_t announced_us; /**< time of the latest announcement; 0 is never */
	uint64_t first_us;     /**< start of the current uninterrupted run of announcements */
	uint64_t echoed_us; /**< when the target first echoed the cordon of echoed_epoch; 0: not */
	uint64_t echoed_epoch; /**< 0: the target echoes none */
	bool echoed_cordoned;
	bool leaving;
	uint32_t in_flight;
	uint64_t served;
	uint64_t served_base; /**< served at the start of the current run */
	uint32_t failures;    /**< consecutive failed requests, as reported */
	char *image;	      /**< latest announced image; "" when never announced */
} health_entry_t;

typedef struct {
	GHashTable *by_vm;
	uint64_t routing_lease_us;
	uint64_t lost_us;
	/** Start of this view: a target that is not heard of is silent only when lost_us have
	 * passed since then. */
	uint64_t since_us;
} health_t;

/** How the leader sees a target. */
typedef enum {
	HEALTH_SERVING,
	HEALTH_DOUBT,  /**< announcements are late, or it fails requests */
	HEALTH_SILENT, /**< longer than lost_us without an announcement */
	HEALTH_NEVER,  /**< never announced to this process */
} health_state_t;

void health_init(health_t *health, uint64_t routing_lease_us, uint64_t lost_us);
void health_finish(health_t *health);
/** Starts the view anew, on becoming leader: targets get lost_us to be heard of. Without a call the
 * first report does so. */
void health_start(health_t *health, uint64_t now_us);
/** Consecutive failed requests of a target, from the data path; 0 clears them. */
void health_set_failures(health_t *health, const char *vm, uint32_t failures);
/** Forgets a target that has left the fleet. */
void health_forget(health_t *health, const char *vm);
void health_report(health_t *health, const Lp__TargetReport *report, uint64_t now_us);
const health_entry_t *health_find(const health_t *health, const char *vm);
health_state_t health_state(const health_t *health, const char *vm, uint64_t now_us);
/** True when the target echoed the cordon of this epoch and the routing lease plus a margin passed.
 */
bool health_quiesced_by_echo(const health_t *health, const char *vm, uint64_t epoch,
			     uint64_t now_us);
