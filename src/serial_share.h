#pragma once

#include <stddef.h>

#include "serial_queue.h"

/**
 * @file
 * Shares the calls of a serial_queue with helpers: other processes that can call the same peer. The
 * peer handles one call at a time for each calling machine, so that several machines are answered
 * at the same time. It is for more calls than this process gets answered before their jobs are
 * late. There is no I/O; times are in microseconds.
 *
 * How many helpers call at the same time is a window, as in TCP Vegas (Brakmo, Peterson, 1995): it
 * grows while answers come as fast as the peer answers a single call, and shrinks when they are
 * slower, because the peer then handles the calls of all machines in turn, or refuses them.
 */

/** How a call has ended. */
typedef enum {
	SERIAL_ANSWERED,
	SERIAL_REFUSED,	  /**< the peer or the helper takes no more calls now */
	SERIAL_NOT_SENT,  /**< it did not reach the peer */
	SERIAL_NO_ANSWER, /**< no answer in time; the peer possibly still works on it */
} serial_result_t;

/** Another process that makes calls. */
typedef struct serial_helper {
	TAILQ_ENTRY(serial_helper) link;
	uint32_t node;
	bool available;		 /**< the process is there */
	bool proven;		 /**< it has answered its latest call */
	bool in_use;		 /**< it has a call under way */
	unsigned failures;	 /**< calls in a row that it has not answered */
	uint64_t rests_until_us; /**< it gets no call before */
} serial_helper_t;

/** A call that a serial_share_t hands out. Embedded in the caller's request. */
typedef struct {
	serial_call_t call; /**< first member */
	uint32_t node;	    /**< helper that makes it; 0: this process */
	bool alone;	    /**< no helper had a call under way when it was sent */
	bool repeated; /**< another process has not answered it; set by the owner of the call */
	bool own_only; /**< only this process may make it; set by the owner of the call */
	uint64_t sent_us;
	uint64_t load_us;  /**< declared time of all calls under way when it was sent */
	uint64_t limit_us; /**< longest time for the call */
} shared_call_t;

typedef struct {
	serial_queue_t queue; /**< calls that wait, and those of this process */
	TAILQ_HEAD(serial_helpers, serial_helper) helpers; /**< latest used first */
	struct serial_calls under_way;			   /**< calls of all processes */
	unsigned helper_count;				   /**< number of available helpers */
	unsigned window;       /**< most helpers that call at the same time */
	unsigned in_use;       /**< number of helpers with a call under way */
	uint64_t under_way_us; /**< declared time of all calls under way */
	double slowness;   /**< time of a single call at the peer, relative to the declared one */
	double mean_ratio; /**< the same of the calls of helpers, smoothed; 0: none has ended */
	double ratio_deviation;	 /**< smoothed deviation from it */
	double patience;	 /**< factor of the time after which an answer is late */
	unsigned failures;	 /**< calls in a row of this process without an answer */
	uint64_t rests_until_us; /**< this process makes no call before */
	uint64_t own_ended_us;	 /**< time when the latest call of this process has ended */
} serial_share_t;

void serial_share_init(serial_share_t *share);
/** Forgets all calls, which the caller owns, and frees the helpers. */
void serial_share_finish(serial_share_t *share);
/** Sets which helpers are there. @param nodes their node ids, none 0 */
void serial_share_set_helpers(serial_share_t *share, const uint32_t *nodes, size_t count);
/** @return whether a process without a call under way may make the next one */
bool serial_share_is_idle(const serial_share_t *share, uint64_t now_us);
/** @return the waiting call that serial_share_next() takes if it takes any; NULL: none waits */
shared_call_t *serial_share_first(const serial_share_t *share, uint64_t now_us);
/** Takes the next call, for the process that its node names. @return NULL: none may be sent */
shared_call_t *serial_share_next(serial_share_t *share, uint64_t now_us);
/** Ends a call that was taken. @param elapsed_us its time at the process that made it */
void serial_share_ended(serial_share_t *share, shared_call_t *call, serial_result_t result,
			uint64_t elapsed_us, uint64_t now_us);
/**
 * Takes a call that should have been answered and was not, while another process can make it. The
 * call is no longer under way, the process that made it rests, and another may make a call in its
 * place.
 * @return NULL: there is none
 */
shared_call_t *serial_share_late(serial_share_t *share, uint64_t now_us);
/**
 * Notes that a process has answered after serial_share_late().
 * @param call the call as it was then; it is not changed
 * @param elapsed_us its time at that process
 */
void serial_share_late_answer(serial_share_t *share, const shared_call_t *call,
			      uint64_t elapsed_us);
