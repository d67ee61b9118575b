/* The scripts of the third review: play CASE RECORD. Ends with 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run. With TROUBLE=0 in the environment, without the disruption. */

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define PREFIX "/kafi706/"

static const char *const prefixes[] = {PREFIX};

static unsigned number(const char *name, unsigned value)
{
	const char *text = getenv(name);

	return text != NULL ? (unsigned)atoi(text) : value;
}

static bool has_trouble(void)
{
	return number("TROUBLE", 1) != 0;
}

static json_t *one_step(unsigned count, unsigned cpu, unsigned estimate_ms)
{
	return json_pack("[{s:i,s:i,s:i,s:i}]", "count", (int)count, "cpu", (int)cpu, "memMb",
			 cpu < 100 ? 8 : 256, "estimateMs", (int)estimate_ms);
}

static json_t *gang_step(unsigned count, unsigned cpu, unsigned estimate_ms)
{
	json_t *steps = one_step(count, cpu, estimate_ms);

	json_object_set_new(json_array_get(steps, 0), "gang", json_true());
	return steps;
}

/* @return whether the job runs so many tasks within the time */
static bool wait_running(const play_job_t *job, unsigned count, unsigned ms)
{
	for (unsigned waited = 0; waited < ms; waited += 10) {
		if (job->running >= count)
			return true;
		sleep_ms(10);
	}
	return false;
}

/* LOST: a job with a long task, for which one worker has the label. */
static int play_long(void)
{
	unsigned work_ms = (has_trouble() ? number("WORK_S", 400) : 100) * 1000;
	json_t *steps = one_step(1, 4000, work_ms);
	uint64_t longest_us = 0;
	play_job_t *job;

	json_object_set_new(json_array_get(steps, 0), "constraints", json_string("b"));
	job = client_submit(PREFIX, steps, work_ms, false);
	sleep_ms(FINISH_MS);
	record_line("finish_s is over, the job has been started %u times", job->starts);
	for (unsigned i = 0; i < 300; i++) {
		if (job->running == 0)
			longest_us = MAX(longest_us, now_us() - job->idle_since_us);
		sleep_ms(100);
	}
	client_read(job);
	record_line("the job is %s after %u starts, and had nothing running for %" PRIu64
		    " ms on end",
		    job->state, job->starts, longest_us / 1000);
	return longest_us > 3000000 ? 1 : job->starts > 0 ? 0 : 2;
}

/* GANG: a gang that is wider than a few workers' starts at a time. */
static int play_wide_gang(void)
{
	unsigned count = has_trouble() ? number("GANG", 32) : 12;
	play_job_t *gang = client_submit(PREFIX, gang_step(count, 2000, 1000), 1000, false);

	sleep_ms(20000);
	client_read(gang);
	record_line("20 s later the gang's job is %s; %u ends `alone`", gang->state, seen.alone);
	return seen.alone > 0 ? 1 : strcmp(gang->state, "complete") == 0 ? 0 : 2;
}

/* @return a job with one step that fills most of a worker and has worked for a while, or NULL */
static play_job_t *start_wide_job(unsigned count, unsigned cpu)
{
	play_job_t *job = client_submit(PREFIX, one_step(count, cpu, 60000), 60000, false);

	if (!wait_running(job, count, 8000))
		return NULL;
	sleep_ms(1500);
	return job;
}

/* UNASKED: a wide job is cancelled. */
static int play_cancel(void)
{
	play_job_t *wide = start_wide_job(number("WIDE", 96), number("WIDE_CPU", 500));

	if (wide == NULL || (has_trouble() && client_cancel(wide) != 200))
		return 2;
	sleep_ms(12000);
	record_line("%u runs still worked after cancel_ms + stopMs, the latest %" PRIu64
		    " ms after the acknowledgement",
		    seen.unasked, seen.unasked_ms);
	return seen.unasked > 0 ? 1 : 0;
}

/* GANG: a wide job is cancelled, and a gang is handed in right after it. */
static int play_cancel_gang(void)
{
	play_job_t *wide = start_wide_job(number("WIDE", 40), number("WIDE_CPU", 1000));
	play_job_t *gang;

	if (wide == NULL || (has_trouble() && client_cancel(wide) != 200))
		return 2;
	sleep_ms(number("PAUSE", 60));
	gang = client_submit(PREFIX, gang_step(20, 4000, 1000), 1000, false);
	sleep_ms(12000);
	client_read(gang);
	record_line("12 s later the gang's job is %s; %u ends `alone`", gang->state, seen.alone);
	return seen.alone > 0 ? 1 : strcmp(gang->state, "complete") == 0 ? 0 : 2;
}

/* LOST: two workers crash, each soon after it has started a task that lasts. */
static int play_crash(void)
{
	const unsigned pauses[] = {number("FIRST", 60), number("SECOND", 40)};
	json_t *steps = one_step(1, 2000, 60000);
	play_job_t *job;

	json_object_set_new(json_array_get(steps, 0), "longRunning", json_true());
	job = client_submit(PREFIX, steps, 60000, false);
	for (unsigned i = 0; i < 2; i++) {
		int worker;

		if (!wait_running(job, 1, 8000))
			return 2;
		if (!has_trouble())
			continue;
		sleep_ms(pauses[i]);
		worker = worker_of(job);
		if (worker < 0)
			return 2;
		worker_crash((unsigned)worker);
		sleep_ms(20);
	}
	sleep_ms(10000);
	client_read(job);
	record_line("the job that lasts is %s, with %u tasks at work", job->state, job->running);
	return strcmp(job->state, "failed") == 0 ? 1 : job->running == 1 ? 0 : 2;
}

/* HARM: tasks that fill come all the time, on a service whose workers all run a task that serves.
 */
static int play_harm(void)
{
	json_t *steps = one_step(3, 8000, 60000);
	json_t *step = json_array_get(steps, 0);
	play_job_t *serving;

	json_object_set_new(step, "longRunning", json_true());
	json_object_set_new(step, "antiAffinity", json_integer(1));
	json_object_set_new(step, "goalMs", json_integer(100));
	json_object_set_new(step, "image", json_string("image-a"));
	serving = client_submit(PREFIX, steps, 60000, false);
	if (!wait_running(serving, 3, 8000))
		return 2;
	sleep_ms(3000);
	for (unsigned i = 0; i < number("JOBS", 100); i++) {
		json_t *filling = one_step(number("WIDTH", 6), 1000, 800);

		json_object_set_new(json_array_get(filling, 0), "fills", json_true());
		json_object_set_new(json_array_get(filling, 0), "image", json_string("image-b"));
		if (has_trouble())
			client_submit(PREFIX, filling, 800, false);
		sleep_ms(number("EACH", 250));
	}
	record_line("the task that serves was over its goal for %" PRIu64 " ms on end",
		    seen.harm_ms);
	return seen.harm_ms > IMPACT_MS ? 1 : 0;
}

/* @return number of accepted jobs that have had nothing running for 3 s and are not complete */
static unsigned count_idle(GPtrArray *jobs)
{
	unsigned idle = 0;

	for (guint i = 0; i < jobs->len; i++) {
		play_job_t *job = g_ptr_array_index(jobs, i);

		client_read(job);
		idle += job->accepted_us != 0 && strcmp(job->state, "complete") != 0 &&
			job->running == 0 && now_us() > job->idle_since_us + 3000000;
	}
	return idle;
}

/* LOST: some jobs come at once to a queue whose starts need tickets. */
static int play_advice(void)
{
	unsigned count = number("JOBS", 12);
	GPtrArray *list = g_ptr_array_new();
	unsigned idle = 0;

	for (unsigned i = 0; i < count; i++) {
		g_ptr_array_add(list, client_submit(PREFIX, one_step(4, 2000, 800), 800, true));
		sleep_ms(has_trouble() ? 20 : 2000);
	}
	record_line("the traffic has ended");
	sleep_ms(FINISH_MS);
	for (unsigned i = 0; i < number("LOOKS", 8); i++) {
		idle = count_idle(list);
		record_line("%u of %u jobs have had nothing running for 3 s", idle, count);
		if (idle == 0)
			break;
		sleep_ms(5000);
	}
	return idle > 0 ? 1 : 0;
}

/* LOST: the policy service gives long tickets. */
static int play_ticket(void)
{
	play_job_t *job = client_submit(PREFIX, one_step(4, 2000, 800), 800, true);
	bool lost;

	sleep_ms(FINISH_MS);
	client_read(job);
	lost = strcmp(job->state, "complete") != 0 && job->running == 0 &&
	       now_us() > job->idle_since_us + 3000000;
	record_line("%d ms later the job is %s, %u of its tasks have started", (int)FINISH_MS,
		    job->state, job->starts);
	return lost ? 1 : strcmp(job->state, "complete") == 0 ? 0 : 2;
}

typedef struct {
	const char *name;
	int (*play)(void);
	bool advised;
	fleet_config_t config;
} case_t;

int main(int argc, char **argv)
{
	const case_t cases[] = {
		{"long", play_long, false, {.workers = 3, .answer_ms = 2, .stop_ms = 50}},
		{"wide-gang",
		 play_wide_gang,
		 false,
		 {.workers = 3, .answer_ms = 60, .stop_ms = 50}},
		{"crash", play_crash, false, {.workers = 14, .answer_ms = 2, .stop_ms = 50}},
		{"cancel",
		 play_cancel,
		 false,
		 {.workers = 3, .answer_ms = 2, .stop_ms = 180, .stop_waits = true}},
		{"cancel-gang",
		 play_cancel_gang,
		 false,
		 {.workers = 3, .answer_ms = 2, .stop_ms = 150, .stop_waits = true}},
		{"advice",
		 play_advice,
		 true,
		 {.workers = 12,
		  .answer_ms = 2,
		  .stop_ms = 50,
		  .decide_ms = 600,
		  .per_worker_ms = 50,
		  .valid_ms = 3000}},
		{"harm",
		 play_harm,
		 false,
		 {.workers = 3, .answer_ms = 2, .stop_ms = 50, .tail_ms = 40, .disturb_ms = 8}},
		{"ticket",
		 play_ticket,
		 true,
		 {.workers = 3,
		  .answer_ms = 2,
		  .stop_ms = 50,
		  .decide_ms = 50,
		  .per_worker_ms = 5,
		  .valid_ms = 3000,
		  .ticket_length = 80}},
	};
	int result = 2;

	for (size_t i = 0; argc == 3 && i < G_N_ELEMENTS(cases); i++) {
		fleet_config_t config = cases[i].config;

		if (strcmp(argv[1], cases[i].name) != 0)
			continue;
		config.cpu_milli = 64000;
		config.mem_mib = 262144;
		config.racks = 2;
		config.answer_ms = number("ANSWER", config.answer_ms);
		config.stop_ms = number("STOP", config.stop_ms);
		config.drops_calls = number("DROPS", 1) != 0;
		config.decide_ms = number("DECIDE", config.decide_ms);
		config.ticket_length = has_trouble() ? number("TICKET", config.ticket_length) : 16;
		config.stop_waits = number("STOP_WAITS", config.stop_waits) != 0;
		if (fleet_start(&config, argv[2]) &&
		    operator_put_config(1, prefixes, 1, cases[i].advised)) {
			sleep_ms(4000);
			result = cases[i].play();
		}
		fleet_stop();
	}
	return result;
}
