/* The cases of this review. Each plays one order of events and reports the broken rule. */
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "standin.h"

#define PREFIX_A "/puxa400/"
#define PREFIX_B "/kafi706/"
#define JOB_A "5c0e7a21d94b36f8"
#define JOB_B "81d2c07be5a9f340"
#define SERVICE "huvo11a"

static task_traits_t traits; /* of the tasks of the present case */
static unsigned task_count;

static unsigned spread_ms; /* the runs of the present case differ in length by up to this */

static uint64_t run_length_ms(const char *task)
{
	return traits.length_ms + (spread_ms > 0 ? g_str_hash(task) % spread_ms : 0);
}

task_traits_t task_traits(const char *task, uint32_t run)
{
	task_traits_t own = traits;

	own.length_ms = run_length_ms(task);
	return own;
}

static json_t *job_of_one_step(unsigned count, const char *constraint)
{
	json_t *step = json_pack("{s:i, s:I, s:I, s:I}", "count", (int)count, "cpu",
				 (json_int_t)traits.cpu, "memMb", (json_int_t)traits.mem,
				 "estimateMs", (json_int_t)(traits.length_ms + spread_ms / 2));

	if (constraint != NULL)
		json_object_set_new(step, "constraints", json_string(constraint));
	return json_pack("{s:s, s:[o]}", "spec", "a text", "steps", step);
}

/* Adds count workers of kind a, each on a rack of its own with one other. */
static void add_workers(unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		char rack[16];

		g_snprintf(rack, sizeof(rack), "r1-%u", 1 + i / 2);
		add_worker(SERVICE, "a", rack);
	}
}

static bool all_registered(void *arg)
{
	for (unsigned i = 0; i < worker_count; i++) {
		if (workers[i].acked_beats == 0)
			return false;
	}
	return true;
}

/* Configures the system and waits until the workers are known. */
static bool set_up(const char *const *routes, size_t route_count, int attempts)
{
	if (!put_config(make_config(1, routes, route_count, SERVICE, attempts), 15000) ||
	    !run_until(all_registered, NULL, 10000))
		return false;
	run_for(2000);
	return true;
}

static bool all_run(void *arg)
{
	return count_active(arg, JOB_A) >= task_count;
}

static bool is_complete(void *arg)
{
	char state[16];

	return job_state(PREFIX_A, JOB_A, state) == 200 && strcmp(state, "complete") == 0;
}

/* --- 1: more than 500 ends at once --- */

static bool case_many_ends(void)
{
	static const char *const routes[] = {PREFIX_A};
	worker_t *worker;

	/* Short tasks of a tenth of a core, all for the one worker of kind b. */
	traits = (task_traits_t){.cpu = 100, .mem = 100, .length_ms = 9000, .how = "done"};
	spread_ms = 3000;
	task_count = 620;
	add_workers(5);
	worker = add_worker(SERVICE, "b", "r1-9");
	worker->log_holds = true;
	if (!set_up(routes, 1, 3))
		return false;
	if (!submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, "b"), 10000) ||
	    !run_until(all_run, worker, 9000)) {
		record("%u tasks run", count_active(worker, JOB_A));
		return false;
	}
	record("all %u tasks run on %s", task_count, worker->id);
	while (count_runs(JOB_A, "done") == 0)
		run_for(5);
	record("the first task has ended");
	if (trouble) {
		record("%s is cut off for 3.4 s, and runs on", worker->id);
		worker->cut_until_us = clock_now_us() + 3400 * US_PER_MS;
	}
	run_until(is_complete, NULL, 30000);
	run_for(3000);
	record("%u runs, %u done, %u lapsed, %u stopped", count_runs(JOB_A, NULL),
	       count_runs(JOB_A, "done"), count_runs(JOB_A, "lapsed"), count_runs(JOB_A, "stopped"));
	judge_runs(3);
	return true;
}

/* --- 2: a heartbeat of another writer --- */

static void on_foreign_answered(void *arg, unsigned status, const json_t *body)
{
	record("the other writer's heartbeat is answered: %u", status);
}

static bool case_foreign_beat(void)
{
	static const char *const routes[] = {PREFIX_A};
	worker_t *worker = NULL;
	json_t *beat;

	traits = (task_traits_t){.cpu = 8000, .mem = 4000, .length_ms = 8000, .how = "done"};
	task_count = 12;
	add_workers(8);
	if (!set_up(routes, 1, 3))
		return false;
	for (unsigned i = 0; i < worker_count; i++)
		workers[i].log_runs = true;
	if (!submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, NULL), 10000) ||
	    !run_until(all_run, NULL, 5000))
		return false;
	run_for(1000);
	for (unsigned i = 0; i < worker_count; i++) {
		if (count_active(&workers[i], JOB_A) > 0)
			worker = &workers[i];
	}
	if (trouble) {
		/* An agent of another system runs on the worker's machine, and announces itself with
		 * a service that no configuration names. */
		beat = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:{s:i, s:i, s:i}, s:[s, s], "
				 "s:I, s:i, s:I}",
				 "service", "node-agent", "machine", worker->machine, "zone",
				 worker->zone, "addr", "127.0.0.1:9", "version", "v7", "slots", 1,
				 "state", "ready", "capacity", "cpu", 1000, "memMb", 512, "gpu", 0,
				 "labels", "agent", worker->rack, "clockMs", (json_int_t)90000,
				 "seq", 3, "born", (json_int_t)clock_wall_ms());
		record("another writer on %s, the machine of %s, sends a heartbeat for the service "
		       "node-agent, which the configuration doesn't name",
		       worker->machine, worker->id);
		put_instance(0, "agent-0c1f22", beat, on_foreign_answered, NULL);
	}
	run_until(is_complete, NULL, 30000);
	run_for(3000);
	judge_runs(3);
	return true;
}

/* --- not among the five: a late DELETE of a worker's earlier life --- */

static bool drain_is_acked(void *arg)
{
	return ((worker_t *)arg)->drain_acked;
}

static bool is_registered_again(void *arg)
{
	const worker_t *worker = arg;

	return worker->acked_life == worker->life;
}

static void on_delete_answered(void *arg, unsigned status, const json_t *body)
{
	*(unsigned *)arg = status;
	record("DELETE is answered: %u", status);
}

static bool runs_tasks(void *arg)
{
	return count_active(arg, JOB_A) > 0;
}

static bool case_late_delete(void)
{
	static const char *const routes[] = {PREFIX_A};
	worker_t *worker;
	process_t *leader;

	traits = (task_traits_t){.cpu = 8000, .mem = 4000, .length_ms = 8000, .how = "done"};
	task_count = 16;
	start_proxy();
	add_workers(7);
	worker = add_worker(SERVICE, "a", "r1-9");
	worker->proxied = true;
	if (!set_up(routes, 1, 3))
		return false;
	for (unsigned i = 0; i < worker_count; i++)
		workers[i].log_runs = true;
	/* Like each worker, it sends its heartbeats to one node on a kept connection. */
	leader = leader_process();
	if (leader == NULL)
		return false;
	worker->beat_core = (unsigned)(leader - processes);
	run_for(2000);
	/* A planned restart: the worker drains, serves for drainMs more, leaves and ends; it starts
	 * again under its id. */
	worker->draining = true;
	worker->beat_due_us = 0;
	if (!run_until(drain_is_acked, worker, 5000))
		return false;
	record("%s drains", worker->id);
	run_for(2500);
	worker->beat_due_us = UINT64_MAX;
	if (trouble)
		set_proxy_cut(true);
	for (unsigned i = 0; i < CORES; i++) {
		static unsigned status;

		status = 0;
		delete_instance(worker, (worker->beat_core + i) % CORES, on_delete_answered,
				&status);
		run_for(1010);
		if (status >= 200 && status < 300)
			break;
	}
	end_worker(worker, "its process ends");
	run_for(120);
	start_worker(worker);
	if (trouble) {
		run_for(700);
		set_proxy_cut(false);
	}
	if (!run_until(is_registered_again, worker, 5000) ||
	    !submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, NULL), 10000) ||
	    !run_until(runs_tasks, worker, 3000))
		return false;
	run_until(is_complete, NULL, 30000);
	run_for(3000);
	judge_runs(3);
	return true;
}

/* --- not among the five: the queue of a job that can't be done is removed --- */

static bool has_failed(void *arg)
{
	char state[16];

	return job_state(PREFIX_A, JOB_A, state) == 200 && strcmp(state, "failed") == 0;
}

static bool runs_any(void *arg)
{
	return count_runs(JOB_A, NULL) > 0;
}

static bool case_removed_queue(void)
{
	static const char *const routes[] = {PREFIX_A, PREFIX_B};
	static const char *const fewer[] = {PREFIX_B};

	/* A job that can never be done. */
	traits = (task_traits_t){.cpu = 2000, .mem = 1000, .length_ms = 800, .how = "failed"};
	task_count = 1;
	add_workers(6);
	if (!set_up(routes, 2, 2))
		return false;
	for (unsigned i = 0; i < worker_count; i++)
		workers[i].log_runs = true;
	if (!submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, NULL), 10000) ||
	    !run_until(runs_any, NULL, 3000))
		return false;
	if (trouble && !put_config(make_config(2, fewer, 1, SERVICE, 2), 5000))
		return false;
	if (trouble)
		run_for(15000);
	else if (!run_until(has_failed, NULL, 15000))
		report_broken("BUDGET", "the job is not shown as failed");
	record("%u runs ended failed, of 2 attempts", count_runs(JOB_A, "failed"));
	judge_runs(2);
	return true;
}

/* --- 3: a worker crashes behind a short cut, and starts again under its id --- */

static bool was_acked(void *arg)
{
	const worker_t *worker = arg;

	return worker->acked_beats > 1;
}

static bool case_new_life(void)
{
	static const char *const routes[] = {PREFIX_A};
	worker_t *worker;

	traits = (task_traits_t){.cpu = 8000, .mem = 4000, .length_ms = 8000, .how = "done"};
	task_count = 57;
	start_proxy();
	add_workers(7);
	worker = add_worker(SERVICE, "a", "r1-9");
	worker->proxied = true;
	if (!set_up(routes, 1, 3))
		return false;
	for (unsigned i = 0; i < worker_count; i++)
		workers[i].log_runs = true;
	worker->acked_beats = 0;
	if (!run_until(was_acked, worker, 6000))
		return false;
	run_for(200);
	if (trouble) {
		/* The worker is idle. It is cut off for 0.9 s, crashes in this time, and starts again
		 * at once. */
		set_proxy_cut(true);
		worker->cut_until_us = clock_now_us() + 900 * US_PER_MS;
		run_for(200);
		end_worker(worker, "crashes");
		run_for(100);
		start_worker(worker);
		run_for(600);
		set_proxy_cut(false);
		run_for(30);
	}
	if (!submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, NULL), 10000))
		return false;
	run_until(is_complete, NULL, 30000);
	run_for(3000);
	judge_runs(3);
	return true;
}

/* --- 5: jobs that are accepted while their queue is being removed --- */

#define STREAM_JOBS 1200

static unsigned stream_status[STREAM_JOBS];
static unsigned stream_open;
static uint64_t stream_answered_us[STREAM_JOBS];

static void stream_id(unsigned n, char id[32])
{
	g_snprintf(id, 32, "%08x%08x", 0x5c0e7a21 + n, 0xd94b36f8 - n);
}

static void on_stream_answer(void *arg, unsigned status, const json_t *body)
{
	stream_status[GPOINTER_TO_UINT(arg)] = status;
	stream_answered_us[GPOINTER_TO_UINT(arg)] = clock_now_us();
	stream_open--;
}

static void send_stream_job(unsigned n)
{
	char id[32];

	stream_id(n, id);
	stream_open++;
	send_client_job(PREFIX_A, id, job_of_one_step(1, NULL), on_stream_answer,
			GUINT_TO_POINTER(n));
}

static void on_version_answered(void *arg, unsigned status, const json_t *body)
{
	*(unsigned *)arg = status;
	record("version 2: %u", status);
}

static bool case_vanishing_queue(void)
{
	static const char *const routes[] = {PREFIX_A, PREFIX_B};
	static const char *const fewer[] = {PREFIX_B};
	unsigned version_status = 0;
	unsigned accepted = 0;
	unsigned waiting = 0;
	char id[32];

	traits = (task_traits_t){.cpu = 1000, .mem = 100, .length_ms = 200, .how = "done"};
	task_count = 1;
	add_workers(8);
	if (!set_up(routes, 2, 3))
		return false;
	for (unsigned n = 0; n < STREAM_JOBS; n++) {
		if (n == STREAM_JOBS / 2) {
			record("version 2%s is sent", trouble ? ", without the route," : "");
			send_config(trouble ? make_config(2, fewer, 1, SERVICE, 3)
					    : make_config(2, routes, 2, SERVICE, 3),
				    on_version_answered, &version_status);
		}
		send_stream_job(n);
		run_for(1);
	}
	while (stream_open > 0)
		run_for(10);
	if (version_status != 200)
		return false;
	run_for(15000);
	for (unsigned n = 0; n < STREAM_JOBS; n++) {
		stream_id(n, id);
		accepted += stream_status[n] == 200;
		if (stream_status[n] != 200 || count_runs(id, NULL) > 0)
			continue;
		waiting++;
		report_broken("LOST", "job %s was accepted (200) at %.3f s and has nothing running, "
				      "with all workers idle",
			      id, (double)(stream_answered_us[n] - case_start_us()) / US_PER_S);
	}
	record("%u jobs sent, %u accepted, %u of these never started", STREAM_JOBS, accepted, waiting);
	judge_runs(3);
	return true;
}

/* --- 4: a wave while the other workers of the service are full --- */

static bool is_lost(const char *task, uint64_t *room_since_us)
{
	uint64_t since_us = not_running_since_us(task);
	uint64_t now_us = clock_now_us();
	unsigned places = 0;

	for (unsigned i = 0; i < worker_count; i++)
		places += has_room(&workers[i], 2 * traits.cpu, 2 * traits.mem)	? 2
			  : has_room(&workers[i], traits.cpu, traits.mem)	? 1
										: 0;
	if (since_us == 0 || places < 2 || now_us < since_us + 6 * US_PER_S) {
		*room_since_us = 0;
		return false;
	}
	if (*room_since_us == 0)
		*room_since_us = now_us;
	return now_us >= *room_since_us + 3 * US_PER_S;
}

static bool case_full_wave(void)
{
	static const char *const routes[] = {PREFIX_A};
	const char *machines[2];
	uint64_t *room_since_us;
	bool *lost;
	uint64_t end_us;
	json_t *body;
	char state[16];

	/* Tasks that last, four on a worker; 30 of them on 8 workers. */
	traits = (task_traits_t){
		.cpu = 16000, .mem = 27000, .length_ms = 900, .how = "failed", .lasts = true};
	task_count = 30;
	add_workers(8);
	if (!set_up(routes, 1, 4))
		return false;
	for (unsigned i = 0; i < worker_count; i++)
		workers[i].log_runs = true;
	body = json_pack("{s:s, s:[{s:i, s:I, s:I, s:i, s:b, s:i, s:s}]}", "spec", "a text", "steps",
			 "count", (int)task_count, "cpu", (json_int_t)traits.cpu, "memMb",
			 (json_int_t)traits.mem, "estimateMs", 900, "longRunning", 1,
			 "maxUnavailable", 1, "image", "img-7");
	if (!submit_job(PREFIX_A, JOB_A, body, 10000) || !run_until(all_run, NULL, 5000))
		return false;
	run_for(5000);
	machines[0] = workers[0].machine;
	machines[1] = workers[1].machine;
	if (trouble && !start_wave(1, machines, 2, 27, 1))
		return false;
	lost = g_new0(bool, task_count);
	room_since_us = g_new0(uint64_t, task_count);
	end_us = clock_now_us() + 30 * US_PER_S;
	while (clock_now_us() < end_us) {
		for (unsigned i = 0; i < task_count; i++) {
			char task[80];

			g_snprintf(task, sizeof(task), JOB_A ".0.0.%u", i);
			if (lost[i] || !is_lost(task, &room_since_us[i]))
				continue;
			lost[i] = true;
			report_broken("LOST",
				      "%s is to last and has not run for %.1f s, with room for it "
				      "twice over",
				      task,
				      (double)(clock_now_us() - not_running_since_us(task)) / US_PER_S);
		}
		run_for(50);
	}
	if (trouble && wave_state(1, state) == 200)
		record("the wave is %s", state);
	record("%u of %u tasks run", count_active(NULL, JOB_A), task_count);
	for (unsigned i = 0; i < worker_count; i++)
		record("%s runs %u tasks", workers[i].id, count_active(&workers[i], JOB_A));
	g_free(lost);
	g_free(room_since_us);
	judge_runs(1000);
	return true;
}

/* --- not among the five: a worker whose checkpoints are longer --- */

static bool case_long_checkpoint(void)
{
	static const char *const routes[] = {PREFIX_A};
	static const char *const text =
		"ckpt-00000bb87a21d94b-00000bb87a21d94b-00000bb87a21d94b-00000bb87a21d94b";
	uint64_t idle_since_us = 0;
	uint64_t longest_us = 0;
	uint64_t end_us;

	traits = (task_traits_t){.cpu = 8000, .mem = 4000, .length_ms = 3000, .how = "done"};
	task_count = 8;
	add_workers(8);
	if (!set_up(routes, 1, 3))
		return false;
	for (unsigned i = 0; i < worker_count; i++) {
		workers[i].log_runs = true;
		workers[i].checkpoint = trouble ? text : "00000bb87a21d94b";
	}
	if (!submit_job(PREFIX_A, JOB_A, job_of_one_step(task_count, NULL), 10000))
		return false;
	/* finish_s after the end of the traffic, the job must not have nothing running for 3 s. */
	run_for(14000);
	end_us = clock_now_us() + 30 * US_PER_S;
	while (clock_now_us() < end_us && !is_complete(NULL)) {
		if (count_active(NULL, JOB_A) > 0)
			idle_since_us = 0;
		else if (idle_since_us == 0)
			idle_since_us = clock_now_us();
		if (idle_since_us != 0)
			longest_us = MAX(longest_us, clock_now_us() - idle_since_us);
		run_for(50);
	}
	if (longest_us >= 3 * US_PER_S)
		report_broken("LOST", "later than finish_s after the end of the traffic, the job has "
				      "nothing running for %.1f s, with room on all workers",
			      (double)longest_us / US_PER_S);
	judge_runs(3);
	return true;
}

case_fn find_case(const char *name)
{
	static const struct {
		const char *name;
		case_fn fn;
	} cases[] = {
		{"many-ends", case_many_ends},
		{"foreign-beat", case_foreign_beat},
		{"late-delete", case_late_delete},
		{"removed-queue", case_removed_queue},
		{"new-life", case_new_life},
		{"vanishing-queue", case_vanishing_queue},
		{"full-wave", case_full_wave},
		{"long-checkpoint", case_long_checkpoint},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(cases[i].name, name) == 0)
			return cases[i].fn;
	}
	return NULL;
}
