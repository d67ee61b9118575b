#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"

/**
 * @file
 * Health of targets, derived from their announcements and from the results of requests. It is not
 * replicated: each process has its own view, and the leader's view includes the reports of all
 * processes. Has no side effects outside its arguments.
 */

/** What this process knows about one target. */
typedef struct {
	char *vm;
	uint64_t announced_us;	 /**< time of the latest announcement; 0: never */
	uint64_t run_started_us; /**< time of the first announcement since a gap or a restart */
	/** time when the target first echoed the cordon of echoed_epoch; 0: never */
	uint64_t cordon_echoed_us;
	uint64_t echoed_epoch; /**< epoch that the latest announcement echoed; 0: none */
	bool echoed_cordoned;
	bool leaving;
	uint32_t in_flight;
	uint64_t served;
	uint64_t served_at_run_start; /**< value of served at the time run_started_us */
	uint32_t failures; /**< consecutive failed requests; cleared by a gap or restart */
	char *image;	   /**< image in the latest announcement; "": none announced */
} health_entry_t;

typedef struct {
	GHashTable *by_vm;
	uint64_t routing_lease_us;
	uint64_t lost_us;
	/**
	 * Time from which on announcements are expected. A target counts as silent only when
	 * lost_us have passed since then.
	 */
	uint64_t view_started_us;
} health_t;

/** Health of a target. */
typedef enum {
	HEALTH_SERVING,
	HEALTH_SUSPECT, /**< announcements are late, or the target is leaving or fails requests */
	HEALTH_SILENT,	/**< no announcement for longer than lost_us */
	HEALTH_NEVER_ANNOUNCED, /**< this process has received no announcement yet */
} health_state_t;

void health_init(health_t *health, uint64_t routing_lease_us, uint64_t lost_us);
void health_finish(health_t *health);
/**
 * Must be called when this process becomes leader: from then on, each target has lost_us to
 * announce itself before it counts as silent. If this was never called, the time runs from the
 * first report.
 */
void health_start(health_t *health, uint64_t now_us);
/** Sets the number of consecutive failed requests of a target. */
void health_set_failures(health_t *health, const char *vm, uint32_t failures);
/** Removes a target that has left the fleet. */
void health_remove(health_t *health, const char *vm);
void health_report(health_t *health, const Lp__TargetReport *report, uint64_t now_us);
const health_entry_t *health_find(const health_t *health, const char *vm);
health_state_t health_state(const health_t *health, const char *vm, uint64_t now_us);
/**
 * True when the target has echoed the cordon of the given epoch and at least the routing lease plus
 * a margin has passed since then. By then, no entry process sends the target new requests any more.
 */
bool health_cordon_in_effect(const health_t *health, const char *vm, uint64_t epoch,
			     uint64_t now_us);
