#define G_LOG_DOMAIN "disk"

#include "disk_thread.h"

#include <errno.h>
#include <stdint.h>
#include <unistd.h>

#include <glib.h>

/* Calls done() on the owner's thread if work() has returned and done() has not been called yet. */
static void report_completion(disk_thread_t *disk)
{
	bool completed;

	pthread_mutex_lock(&disk->lock);
	completed = disk->busy && disk->work_returned;
	pthread_mutex_unlock(&disk->lock);
	/* disk_thread_wait() may have called done() before this message arrived. */
	if (!completed)
		return;
	pthread_mutex_lock(&disk->lock);
	disk->busy = false;
	disk->work_returned = false;
	pthread_mutex_unlock(&disk->lock);
	disk->done(disk->arg, disk->result);
}

static void on_completion_message(void *arg)
{
	report_completion(arg);
}

static void *thread_main(void *arg)
{
	disk_thread_t *disk = arg;

	pthread_mutex_lock(&disk->lock);
	while (!disk->stopping) {
		int result;

		if (!disk->busy || disk->work_returned) {
			pthread_cond_wait(&disk->state_changed, &disk->lock);
			continue;
		}
		pthread_mutex_unlock(&disk->lock);
		result = disk->work(disk->arg);
		pthread_mutex_lock(&disk->lock);
		disk->result = result;
		disk->work_returned = true;
		pthread_cond_broadcast(&disk->state_changed);
		mailbox_post(&disk->mailbox, on_completion_message, disk);
	}
	pthread_mutex_unlock(&disk->lock);
	return NULL;
}

int disk_thread_init(disk_thread_t *disk, struct tevent_context *ev)
{
	int error;

	*disk = (disk_thread_t){0};
	if (mailbox_init(&disk->mailbox, ev) != 0)
		return -1;
	pthread_mutex_init(&disk->lock, NULL);
	pthread_cond_init(&disk->state_changed, NULL);
	error = pthread_create(&disk->thread, NULL, thread_main, disk);
	if (error == 0)
		return 0;
	pthread_cond_destroy(&disk->state_changed);
	pthread_mutex_destroy(&disk->lock);
	mailbox_finish(&disk->mailbox);
	errno = error;
	return -1;
}

void disk_thread_run(disk_thread_t *disk, int (*work)(void *arg),
		     void (*done)(void *arg, int result), void *arg)
{
	pthread_mutex_lock(&disk->lock);
	disk->work = work;
	disk->done = done;
	disk->arg = arg;
	disk->work_returned = false;
	disk->busy = true;
	pthread_cond_broadcast(&disk->state_changed);
	pthread_mutex_unlock(&disk->lock);
}

bool disk_thread_busy(const disk_thread_t *disk)
{
	return disk->busy;
}

void disk_thread_poll(disk_thread_t *disk)
{
	report_completion(disk);
}

void disk_thread_wait(disk_thread_t *disk)
{
	if (!disk->busy)
		return;
	pthread_mutex_lock(&disk->lock);
	while (!disk->work_returned)
		pthread_cond_wait(&disk->state_changed, &disk->lock);
	pthread_mutex_unlock(&disk->lock);
	report_completion(disk);
}

void disk_thread_stop(disk_thread_t *disk)
{
	disk_thread_wait(disk);
	pthread_mutex_lock(&disk->lock);
	disk->stopping = true;
	pthread_cond_broadcast(&disk->state_changed);
	pthread_mutex_unlock(&disk->lock);
	pthread_join(disk->thread, NULL);
	mailbox_finish(&disk->mailbox);
	pthread_cond_destroy(&disk->state_changed);
	pthread_mutex_destroy(&disk->lock);
}
