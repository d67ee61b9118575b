#pragma once

#include <pthread.h>
#include <stdbool.h>

#include "mailbox.h"

/**
 * @file
 * Thread that runs blocking disk calls, one at a time, so that a slow disk does not block the event
 * loop.
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
	bool busy;	    /**< true from disk_thread_run() until done() is called */
	bool work_returned; /**< true after work() has returned, until done() is called */
	bool stopping;
} disk_thread_t;

/** Starts the thread; ev is the event loop of the owner's thread. @return 0, or -1 with errno set
 */
int disk_thread_init(disk_thread_t *disk, struct tevent_context *ev);
/** Waits until the running call, if any, has ended, calls its done() and ends the thread. */
void disk_thread_stop(disk_thread_t *disk);
/** Runs work(arg) on the disk thread, then done(arg, result) from the event loop of the owner's
 * thread. Must not be called while disk_thread_busy(). */
void disk_thread_run(disk_thread_t *disk, int (*work)(void *arg),
		     void (*done)(void *arg, int result), void *arg);
/** True from disk_thread_run() until done() is called. May be called on the owner's thread only. */
bool disk_thread_busy(const disk_thread_t *disk);
/** Calls done() if the running call has ended, before the event loop reports it. */
void disk_thread_poll(disk_thread_t *disk);
/** Waits until the running call, if any, has ended and calls its done(). */
void disk_thread_wait(disk_thread_t *disk);
