#pragma once

#include <pthread.h>
#include <stdbool.h>

#include "mailbox.h"

/**
 * @file
 * A thread for calls that wait for the disk, so that a slow disk does not hold up the event loop.
 * One call at a time.
 */

typedef struct {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t state_changed;
	mailbox_t mailbox;
	int (*work)(void *arg);
	void (*done)(void *arg, int result);
	void *arg;
	int result;
	bool busy;	    /**< a call is queued, runs, or has not been reported */
	bool work_returned; /**< the call has returned */
	bool stopping;
} disk_thread_t;

/** @return 0, or -1 with errno set */
int disk_thread_init(disk_thread_t *disk, struct tevent_context *ev);
/** Waits for the running call; its done function is called. */
void disk_thread_stop(disk_thread_t *disk);
/** Runs work(arg) on the thread, then done(arg, result) from the event loop. */
void disk_thread_run(disk_thread_t *disk, int (*work)(void *arg),
		     void (*done)(void *arg, int result), void *arg);
/** True from disk_thread_run() until done was called. Owner's thread only. */
bool disk_thread_busy(const disk_thread_t *disk);
/** Waits until the running call, if any, was reported by done(). */
void disk_thread_wait(disk_thread_t *disk);
