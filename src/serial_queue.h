#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/**
 * @file
 * Calls to a peer that handles one call at a time, in turn, and whose times are declared, such as
 * the policy service. It is for many steps that ask for advice at once: a call that is sent early
 * only waits at the peer, and times out there. So calls are sent while the declared time of those
 * under way is at most SERIAL_WORK_MAX_US, and otherwise wait here. Sources of calls get equal
 * shares of the peer's time, by start-time fair queueing (Goyal, Vin, Cheng, 1996); the calls of
 * one source wait in the order of their arrival. There is no I/O; times are in microseconds.
 */

/**
 * Upper limit of the declared time of all calls under way, unless there is only one. Half of the
 * shortest time that a call is given.
 */
#define SERIAL_WORK_MAX_US (2500 * US_PER_MS)
/** Most calls under way. */
#define SERIAL_CALLS_MAX 5

/** A source of calls, such as a queue of jobs. Zero-initialised. */
typedef struct {
	uint64_t next_tag_us; /**< earliest tag of its next call */
} serial_source_t;

/** A call that waits or is under way. Embedded in the caller's request. */
typedef struct serial_call {
	TAILQ_ENTRY(serial_call) link;
	uint64_t work_us; /**< declared time of the peer's work on the call */
	uint64_t tag_us;  /**< virtual time at which it is due; calls wait in this order */
	bool first;	  /**< it goes before all calls that are not */
} serial_call_t;

TAILQ_HEAD(serial_calls, serial_call);

typedef struct {
	struct serial_calls waiting;
	uint64_t virtual_us; /**< tag of the latest call that was taken */
	unsigned under_way_count;
	uint64_t under_way_us; /**< declared time of the peer's work on the calls under way */
} serial_queue_t;

void serial_queue_init(serial_queue_t *queue);
/** Adds a call that waits from now on. @param work_us declared time of the peer's work on it */
void serial_queue_add(serial_queue_t *queue, serial_source_t *source, serial_call_t *call,
		      uint64_t work_us);
/** Adds a call that goes before those that wait, but after those that were added so earlier. */
void serial_queue_add_first(serial_queue_t *queue, serial_call_t *call, uint64_t work_us);
/** Adds a call that was under way and was not handled. It goes before all others. */
void serial_queue_return(serial_queue_t *queue, serial_call_t *call);
/** @return whether a call that is added now has to wait */
bool serial_queue_is_full(const serial_queue_t *queue);
/** @return number of calls that wait */
size_t serial_queue_length(const serial_queue_t *queue);
/** Takes the next waiting call, which is under way from now on. @return NULL: none may be sent */
serial_call_t *serial_queue_next(serial_queue_t *queue);
/** Takes a waiting call, which will not be sent. */
void serial_queue_remove(serial_queue_t *queue, serial_call_t *call);
/** Takes a waiting call, which another process sends. */
void serial_queue_hand_over(serial_queue_t *queue, serial_call_t *call);
/** Takes any waiting call, which will not be sent. @return NULL: none waits */
serial_call_t *serial_queue_withdraw(serial_queue_t *queue);
/** Ends a call that was under way. */
void serial_queue_ended(serial_queue_t *queue, const serial_call_t *call);
