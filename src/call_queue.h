#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "clock.h"

/**
 * @file
 * Calls to one peer: which of them is sent next, and how many are under way at the same time. It is
 * for a peer that gets many calls at once, such as the stops of a wide job that was cancelled, and
 * that takes its time to answer each of them. By Little's law, the number of connections in use is
 * the rate of calls times the time of a response. The window is the number that sends the waiting
 * calls within the time that their kind may wait. It never falls below CALL_WINDOW_MIN, because
 * calls to a prompt peer need no more connections than that. Above, it has a limit that works like
 * TCP's congestion window (RFC 5681): it grows by one with each prompt response, shrinks by one
 * with each slow one, is halved at most once per round trip when calls get no response, and starts
 * at CALL_WINDOW_MIN again after the peer was idle. So a peer that works on its calls in turn gets
 * no more of them than it answers in time, and a silent one gets few.
 * There is no I/O; times are monotonic, in microseconds.
 *
 * Two queues stand one behind the other: the leader's, from which it withdraws calls, and that of
 * the process which makes the HTTP requests, the leader or an edge process. To a prompt peer, the
 * leader's lets through what CALL_WINDOW_MIN connections carry within CALL_PROMPT_US, so that the
 * time in which responses are relayed or wait to be read holds up no call.
 */

/** Kinds of calls. The earlier kinds are sent first. */
typedef enum {
	CALL_STOP,
	CALL_PACE,
	CALL_START,
	CALL_KIND_COUNT,
} call_kind_t;

/** Number of calls that may always be under way. */
#define CALL_WINDOW_MIN 4
/** Time within which CALL_WINDOW_MIN connections carry what the leader lets through, in us. */
#define CALL_PROMPT_US (100 * US_PER_MS)
/** Most calls that the leader lets through to a prompt peer. */
#define CALL_PROMPT_MAX 128
/** Most calls under way. A peer takes 64 connections, of which the long-polling hold request, its
 * two probes and one that is being closed need four. */
#define CALL_WINDOW_MAX 60

struct call_queue;

/** A call that waits or is under way. Embedded in the caller's request. */
typedef struct call {
	TAILQ_ENTRY(call) link;
	struct call_queue *queue; /**< NULL: the call neither waits nor is under way */
	call_kind_t kind;
	bool under_way;
	uint64_t due_us;  /**< time by which a waiting call should be sent */
	uint64_t sent_us; /**< time since which the call is under way */
} call_t;

TAILQ_HEAD(call_list, call);

/** Calls above CALL_WINDOW_MIN that may be under way in several queues together. */
typedef struct {
	unsigned used;
	unsigned max;
} call_budget_t;

/** What a queue is for. */
typedef enum {
	CALL_QUEUE_LEADER, /**< of the leader: each kind has its own time to be sent */
	CALL_QUEUE_HTTP,   /**< of the process that makes the requests: all are due at once */
} call_queue_role_t;

typedef struct call_queue {
	call_queue_role_t role;
	struct call_list waiting[CALL_KIND_COUNT];
	struct call_list under_way[CALL_KIND_COUNT]; /**< the earliest sent first */
	unsigned waiting_count[CALL_KIND_COUNT];
	unsigned kind_under_way[CALL_KIND_COUNT];
	unsigned under_way_count;	   /**< of all kinds */
	double answer_us[CALL_KIND_COUNT]; /**< smoothed time of a response; 0: none yet */
	uint64_t slow_us;     /**< time of a response from which on the peer counts as overloaded */
	unsigned limit;	      /**< upper limit of the window */
	uint64_t limited_us;  /**< time when the limit was last halved */
	uint64_t answered_us; /**< time of the latest response; 0: none */
	call_budget_t *budget;
} call_queue_t;

/**
 * @param budget shared by several queues; must outlive the queue; NULL: none
 * @param slow_us time of a response from which on the peer counts as overloaded
 */
void call_queue_init(call_queue_t *queue, call_queue_role_t role, call_budget_t *budget,
		     uint64_t slow_us);
/** Ends the queue. No call may wait in it; those under way no longer belong to a queue. */
void call_queue_finish(call_queue_t *queue);
/** Adds a call that waits from now on, behind the others of its kind. */
void call_queue_add(call_queue_t *queue, call_t *call, call_kind_t kind, uint64_t now_us);
/** Adds a call that is sent once more, before the others of its kind. */
void call_queue_add_first(call_queue_t *queue, call_t *call, call_kind_t kind, uint64_t now_us);
/**
 * Takes the next waiting call, which is under way from now on. @return the call, which the caller
 * sends or withdraws; NULL: none waits, or the window is full
 */
call_t *call_queue_next(call_queue_t *queue, uint64_t now_us);
/** @return number of calls that may be under way now */
unsigned call_queue_window(const call_queue_t *queue, uint64_t now_us);
/** @return longest of the smoothed times of a response, of all kinds; 0: there was none */
uint64_t call_queue_answer_us(const call_queue_t *queue);
/** @return expected time for which a call that is added now waits */
uint64_t call_queue_wait_us(const call_queue_t *queue, call_kind_t kind, uint64_t now_us);
/** @return number of waiting calls of all kinds */
unsigned call_queue_waiting(const call_queue_t *queue);
/** Takes a call out that was not sent. */
void call_withdraw(call_t *call);
/**
 * Ends a call that got a response. A call that does not belong to a queue any more is ignored.
 * @param answer_us time of the call where it was made; 0: not known to differ from the time here
 */
void call_answered(call_t *call, uint64_t answer_us, uint64_t now_us);
/** Ends a call that got no response in time. */
void call_failed(call_t *call, uint64_t now_us);
