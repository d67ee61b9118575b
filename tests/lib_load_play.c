#include "lib_load_play.h"

#include <math.h>

#include <talloc.h>

/* Time before the first submission, in which the fleet reports and settles. */
#define LEAD_MS 8000
/* Time after the last submission, in which the remaining jobs can end. */
#define CLOSING_MS 30000
#define STEP_MS 25
#define STEPS_MAX 3
/* Objective of the simulated queues: stretch times the declared run time, plus a constant. */
#define LONG_RUNNING_ID "long-running"
#define STRETCH 1.6
#define OBJECTIVE_MS 600

const load_play_t load_turns = {
	.services = 4,
	.vms_per_service = 35,
	.standby_vms = 30,
	.platform_requests_per_s = 108,
	.service = {{23.1, 2, 6, 3500, 650},
		    {2.7, 2, 8, 7700, 2100},
		    {29, 2, 6, 3500, 650},
		    {3.3, 2, 8, 7700, 2100}},
	.turn_ms = 4000,
	.surge = 4,
	.between = 0.05,
	.duration_ms = 40000,
	.seed = 1,
};

typedef struct {
	char id[24];
	uint64_t submitted_ms;
	uint64_t ended_ms; /* 0: not complete */
	uint64_t objective_ms;
	double work;
	unsigned organisation;
} played_job_t;

typedef struct {
	const load_play_t *play;
	vm_sim_t *sim;
	GRand *rand;
	GArray *jobs; /* of played_job_t */
	double next_ms[LOAD_SERVICES_MAX];
	bool crashed; /* the crash of play->crash_ms has happened */
} player_t;

static bool is_hot(const load_play_t *play, double at_ms)
{
	return play->hot_ms > 0 && at_ms >= play->hot_ms && at_ms < play->hot_ms + play->hot_for_ms;
}

/* @return sum of the organisations' weights, in which that of a hot one counts as often as it sends
 * more than usual */
static double weight_sum(const load_play_t *play, bool hot)
{
	double sum = 0;

	for (unsigned i = 0; i < play->organisations; i++)
		sum += play->weights[i] * (i == 0 && hot ? play->hot : 1);
	return sum;
}

static double rate_per_ms(const load_play_t *play, unsigned service, double at_ms)
{
	unsigned turn = (unsigned)(at_ms / play->turn_ms) % play->services;
	double rate = play->service[service].rate_per_s / 1000.0 *
		      (turn == service ? play->surge : play->between);

	if (play->burst_ms > 0 && at_ms >= play->burst_ms &&
	    at_ms < play->burst_ms + play->burst_for_ms)
		rate *= play->burst;
	if (is_hot(play, at_ms))
		rate *= weight_sum(play, true) / weight_sum(play, false);
	return rate;
}

/* Draws the next arrival of a Poisson process whose rate changes with time, by thinning. */
static double next_arrival_ms(const player_t *player, unsigned service, double after_ms)
{
	const load_play_t *play = player->play;
	double peak = play->service[service].rate_per_s / 1000.0 * play->surge *
		      MAX(1.0, play->burst_ms > 0 ? play->burst : 1.0) *
		      MAX(1.0, play->hot_ms > 0 ? play->hot : 1.0);
	double at_ms = after_ms;

	while (at_ms < play->duration_ms) {
		at_ms -= log(1.0 - g_rand_double(player->rand)) / peak;
		if (g_rand_double(player->rand) * peak < rate_per_ms(play, service, at_ms))
			break;
	}
	return at_ms;
}

static unsigned draw_organisation(const player_t *player, double at_ms)
{
	const load_play_t *play = player->play;
	bool hot = is_hot(play, at_ms);
	double drawn = g_rand_double(player->rand) * weight_sum(play, hot);
	unsigned i = 0;

	while (i + 1 < play->organisations) {
		drawn -= play->weights[i] * (i == 0 && hot ? play->hot : 1);
		if (drawn < 0)
			break;
		i++;
	}
	return i;
}

static void submit(player_t *player, unsigned service)
{
	const load_service_t *shape = &player->play->service[service];
	Lp__BatchStep steps[STEPS_MAX];
	Lp__BatchStep *list[STEPS_MAX];
	uint32_t after[STEPS_MAX];
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	played_job_t played = {.submitted_ms = vm_sim_now_ms(player->sim)};
	double size = exp(g_rand_double_range(player->rand, -0.5, 0.5));
	char organisation[8] = "";

	for (unsigned i = 0; i < shape->steps; i++) {
		lp__batch_step__init(&steps[i]);
		steps[i].count = shape->tasks;
		steps[i].cpu_milli = shape->cpu_milli;
		steps[i].mem_mib = 1000;
		steps[i].estimate_ms = (uint32_t)(shape->task_ms * size);
		after[i] = i - 1;
		steps[i].n_after = i > 0 ? 1 : 0;
		steps[i].after = &after[i];
		list[i] = &steps[i];
	}
	if (player->play->organisations > 0) {
		played.organisation =
			draw_organisation(player, (double)(played.submitted_ms - LEAD_MS));
		g_snprintf(organisation, sizeof(organisation), "o%u", played.organisation);
		job.organisation = organisation;
	}
	job.spec = (char *)"spec";
	job.steps = list;
	job.n_steps = shape->steps;
	g_snprintf(played.id, sizeof(played.id), "j%u", player->jobs->len);
	played.work =
		shape->steps * (double)shape->tasks * shape->cpu_milli * shape->task_ms * size;
	played.objective_ms =
		(uint64_t)(STRETCH * shape->steps * shape->task_ms * size) + OBJECTIVE_MS;
	g_array_append_val(player->jobs, played);
	vm_sim_submit(player->sim, played.id, service, &job);
}

static void note_ended_jobs(player_t *player, guint *first_open)
{
	const batch_state_t *state = vm_sim_state(player->sim);
	bool all_ended = true;

	for (guint i = *first_open; i < player->jobs->len; i++) {
		played_job_t *played = &g_array_index(player->jobs, played_job_t, i);
		const batch_job_t *job;

		if (played->ended_ms != 0)
			continue;
		job = batch_state_job(state, played->id);
		if (job != NULL && job->state == BATCH_JOB_COMPLETE)
			played->ended_ms = vm_sim_now_ms(player->sim);
		else
			all_ended = false;
		if (all_ended)
			*first_open = i + 1;
	}
}

static void submit_long_running(const player_t *player)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchStep *list[] = {&step};
	Lp__BatchJob job = LP__BATCH_JOB__INIT;

	if (player->play->long_running == 0)
		return;
	step.count = player->play->long_running;
	step.cpu_milli = 1000;
	step.mem_mib = 1000;
	step.long_running = true;
	step.max_per_vm = 1;
	job.spec = (char *)"spec";
	job.steps = list;
	job.n_steps = 1;
	vm_sim_submit(player->sim, LONG_RUNNING_ID, 0, &job);
}

/* Crashes a VM when it is time to, and notes when the long-running tasks run again. */
static void crash_and_watch(player_t *player, uint64_t at_ms, load_result_t *result)
{
	const load_play_t *play = player->play;

	if (play->crash_ms == 0 || at_ms < play->crash_ms)
		return;
	if (!player->crashed)
		player->crashed =
			vm_sim_crash_vm_of_job(player->sim, LONG_RUNNING_ID, LOAD_CRASH_MS);
	else if (result->restart_s < 0 &&
		 vm_sim_job_running_count(player->sim, LONG_RUNNING_ID) == play->long_running)
		result->restart_s = (double)(at_ms - play->crash_ms) / 1000.0;
}

static void run_load(player_t *player, load_result_t *result)
{
	const load_play_t *play = player->play;
	uint64_t start_moves;
	uint64_t start_busy_us;
	guint first_open = 0;

	submit_long_running(player);
	vm_sim_run(player->sim, LEAD_MS);
	start_busy_us = vm_sim_stats(player->sim)->busy_us;
	start_moves = vm_sim_move_count(player->sim);
	for (unsigned i = 0; i < play->services; i++)
		player->next_ms[i] = next_arrival_ms(player, i, 0);
	for (uint64_t at_ms = 0; at_ms < play->duration_ms + CLOSING_MS; at_ms += STEP_MS) {
		vm_sim_run(player->sim, LEAD_MS + at_ms);
		for (unsigned i = 0; i < play->services; i++) {
			while (player->next_ms[i] <= (double)at_ms &&
			       player->next_ms[i] < play->duration_ms) {
				submit(player, i);
				player->next_ms[i] = next_arrival_ms(player, i, player->next_ms[i]);
			}
		}
		note_ended_jobs(player, &first_open);
		if (at_ms < play->duration_ms) {
			result->machine_s +=
				vm_sim_switched_on_count(player->sim) * STEP_MS / 1000.0;
			result->moves = vm_sim_move_count(player->sim) - start_moves;
			result->busy_share =
				(double)(vm_sim_stats(player->sim)->busy_us - start_busy_us) /
				1000.0 / play->duration_ms;
		}
		crash_and_watch(player, at_ms, result);
	}
}

/* Share of the work in time by second of submission. */
typedef struct {
	double *owed;
	double *earned;
} by_second_t;

static void add_share(const by_second_t *seconds, GArray *shares, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		double share = seconds->owed[i] > 0 ? seconds->earned[i] / seconds->owed[i] : -1;

		g_array_append_val(shares, share);
	}
}

static void summarise(const player_t *player, load_result_t *result)
{
	unsigned seconds = player->play->duration_ms / 1000 + 1;
	void *mem = talloc_new(NULL);
	by_second_t all = {.owed = talloc_zero_array(mem, double, seconds),
			   .earned = talloc_zero_array(mem, double, seconds)};
	by_second_t others = {.owed = talloc_zero_array(mem, double, seconds),
			      .earned = talloc_zero_array(mem, double, seconds)};
	double all_owed = 0;
	double all_earned = 0;

	result->jobs = player->jobs->len;
	for (guint i = 0; i < player->jobs->len; i++) {
		const played_job_t *job = &g_array_index(player->jobs, played_job_t, i);
		unsigned second = (unsigned)((job->submitted_ms - LEAD_MS) / 1000);
		uint64_t took_ms = job->ended_ms - job->submitted_ms;
		bool in_time = job->ended_ms != 0 && took_ms <= job->objective_ms;

		all.owed[second] += job->work;
		all.earned[second] += in_time ? job->work : 0;
		others.owed[second] += job->organisation > 0 ? job->work : 0;
		others.earned[second] += job->organisation > 0 && in_time ? job->work : 0;
		result->in_time += in_time;
		result->org_jobs[job->organisation]++;
		result->org_in_time[job->organisation] += in_time;
		result->ended += job->ended_ms != 0;
		if (job->ended_ms == 0)
			continue;
		result->late += !in_time && took_ms <= 3 * job->objective_ms;
		result->longest_late_s = MAX(result->longest_late_s, (double)took_ms / 1000.0);
	}
	add_share(&all, result->by_second, seconds);
	add_share(&others, result->others_by_second, seconds);
	for (unsigned i = 0; i < seconds; i++) {
		all_owed += all.owed[i];
		all_earned += all.earned[i];
	}
	result->longest_wait_s = (double)vm_sim_stats(player->sim)->longest_wait_us / 1e6;
	result->in_time_share = all_owed > 0 ? all_earned / all_owed : 0;
	talloc_free(mem);
}

void load_play(const load_play_t *play, load_result_t *result)
{
	vm_sim_config_t config = {.services = play->services,
				  .vms_per_service = play->vms_per_service,
				  .standby_vms = play->standby_vms,
				  .platform_requests_per_s = play->platform_requests_per_s,
				  .processor = play->processor,
				  .declared_times = play->declared_times,
				  .seed = play->seed};
	player_t player = {.play = play,
			   .rand = g_rand_new_with_seed((guint32)play->seed),
			   .jobs = g_array_new(FALSE, FALSE, sizeof(played_job_t))};

	config.organisation_count = play->organisations;
	for (unsigned i = 0; i < play->organisations; i++)
		config.organisations[i].weight = play->weights[i];
	player.sim = vm_sim_create(&config);
	*result = (load_result_t){.restart_s = -1,
				  .by_second = g_array_new(FALSE, FALSE, sizeof(double)),
				  .others_by_second = g_array_new(FALSE, FALSE, sizeof(double))};
	run_load(&player, result);
	summarise(&player, result);
	result->violations = g_strdup(vm_sim_violations(player.sim));
	vm_sim_destroy(player.sim);
	g_array_unref(player.jobs);
	g_rand_free(player.rand);
}

void load_result_finish(load_result_t *result)
{
	g_array_unref(result->by_second);
	g_array_unref(result->others_by_second);
	g_free(result->violations);
}

double load_share_between(const load_result_t *result, unsigned first, unsigned last)
{
	double sum = 0;
	unsigned count = 0;

	for (unsigned i = first; i <= last && i < result->by_second->len; i++) {
		double share = g_array_index(result->by_second, double, i);

		if (share < 0)
			continue;
		sum += share;
		count++;
	}
	return count > 0 ? sum / count : 1;
}
