/*
 * Simulates admission, routing and retries of one pool in virtual time, and compares them with a
 * baseline: round robin over the workers, an unbounded queue per worker, and up to three attempts
 * per request without a retry budget. The baseline also retries requests that are not repeatable,
 * so its share of lost requests cannot be compared.
 *
 *   bench_admission [--csv] [seeds]
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "clock.h"
#include "route_pool.h"

#define WORKERS 10
#define SLOTS 8
#define CLASS_COUNT 2
#define MEAN_LOAD 0.5 /* fraction of the pool's slots in use */
/* Time that a failing worker takes to respond with an error. */
#define FAILURE_DELAY_US 1000
/* Time that a worker without a free slot takes to refuse a request. */
#define REFUSAL_DELAY_US 500
#define TICK_INTERVAL_US (20 * US_PER_MS)
#define BASELINE_MAX_ATTEMPTS 3
#define FAULT_START_US (2 * US_PER_S)
#define ATTEMPT_TIMEOUT_MIN_US (200 * US_PER_MS)

static const struct {
	const char *path;
	uint64_t deadline_us;
	double mean_service_us; /* mean of the exponentially distributed service times */
	bool repeatable;
} classes[CLASS_COUNT] = {
	{"/read", 500 * US_PER_MS, 10 * US_PER_MS, true},
	{"/post", 500 * US_PER_MS, 30 * US_PER_MS, false},
};

typedef enum {
	SURGE,
	FAILING_WORKER,
	SLOW_WORKER,
	HALF_RACK_DOWN,
	ALL_FAILING,
	SCENARIO_COUNT,
} scenario_t;

static const char *const scenario_names[] = {"surge", "failing worker", "slow worker",
					     "half rack gone", "all failing"};

/* Results of one run, in the order of figure_names. */
typedef struct {
	double in_time_share; /* work that ended by its deadline / the lower of offered work and
				 possible work */
	double late_share;    /* share of the ended requests that missed their deadline */
	double longest_queue;
	double queue_drain_ms;	     /* time from the end of the surge until the queue is empty */
	double attempts_per_request; /* number of attempts / number of requests with at least one
					attempt */
	double lost_share; /* share of the requests that failed because of a faulty worker */
} figures_t;

#define FIGURE_COUNT 6
#define FIGURE_QUEUE_DRAIN 3
static const char *const figure_names[FIGURE_COUNT] = {
	"in time", "late", "longest queue", "empty after ms", "amplification", "lost"};

typedef struct request {
	route_ticket_t ticket; /* first member, so that notify() can cast a ticket to request_t */
	struct sim *sim;
	uint64_t arrival_us;
	uint64_t deadline_us;
	uint64_t service_time_us;
	unsigned class;
	unsigned attempts;
	unsigned reference_count; /* baseline only: number of queued jobs and pending events that
				     refer to the request */
	bool done; /* baseline only: whether the request has succeeded or finally failed */
} request_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_TICK,	      /* the workers announce themselves, and route_tick() runs */
	EVENT_JOB_END,	      /* a worker ends a job and frees the slot */
	EVENT_ATTEMPT_END,    /* the entry process learns the result of an attempt */
	EVENT_CLIENT_TIMEOUT, /* baseline only: the client's timeout of an attempt expires */
} event_kind_t;

typedef struct {
	uint64_t at_us;
	uint64_t sequence; /* order of the events that have the same time */
	event_kind_t kind;
	unsigned worker;
	request_t *request;
	uint64_t started_us; /* start time of the attempt */
	router_result_t result;
	bool timed_out;
} event_t;

typedef struct {
	unsigned busy_slots;  /* number of slots in use */
	GQueue request_queue; /* baseline only: requests (request_t) waiting for a slot */
} worker_t;

typedef struct sim {
	scenario_t scenario;
	bool baseline;
	GRand *random;
	GArray *event_heap; /* events (event_t) as a binary heap, the next event first */
	uint64_t sequence;  /* sequence number of the next event */
	uint64_t now_us;
	uint64_t end_us;
	uint64_t window_start_us; /* start of the window in which work counts: start of the surge or
				     the fault */
	uint64_t window_end_us;	  /* end of the window in which work counts; in the scenario of a
				     surge also the end of the surge */
	worker_t workers[WORKERS];
	unsigned next_worker;
	route_table_t *routes;
	GQueue notified; /* requests (request_t) whose ticket has changed its state */
	uint64_t request_count;
	uint64_t started_requests; /* number of requests with at least one attempt */
	uint64_t attempt_count;
	uint64_t ended_requests; /* number of requests that succeeded, missed their deadline or were
				    lost */
	uint64_t late_requests;
	uint64_t lost_requests;
	double offered_work_us; /* total service time of the requests that arrived in the window */
	double in_time_work_us; /* total service time of the requests that met their deadline, of
				   those counted in the window */
	uint64_t queue_length;
	uint64_t max_queue_length;
	uint64_t queue_drained_us; /* time at which the queue first became empty after the window; 0
				      until then */
} sim_t;

/* --- events --- */

static bool event_precedes(const event_t *a, const event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

static event_t *heap_at(sim_t *sim, guint i)
{
	return &g_array_index(sim->event_heap, event_t, i);
}

static void swap_events(sim_t *sim, guint a, guint b)
{
	event_t saved = *heap_at(sim, a);

	*heap_at(sim, a) = *heap_at(sim, b);
	*heap_at(sim, b) = saved;
}

static void push_event(sim_t *sim, event_t event)
{
	guint i = sim->event_heap->len;

	event.sequence = sim->sequence++;
	g_array_append_val(sim->event_heap, event);
	while (i > 0 && event_precedes(heap_at(sim, i), heap_at(sim, (i - 1) / 2))) {
		swap_events(sim, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static bool pop_event(sim_t *sim, event_t *event)
{
	guint i = 0;

	if (sim->event_heap->len == 0)
		return false;
	*event = *heap_at(sim, 0);
	swap_events(sim, 0, sim->event_heap->len - 1);
	g_array_set_size(sim->event_heap, sim->event_heap->len - 1);
	for (;;) {
		guint first = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < sim->event_heap->len &&
			    event_precedes(heap_at(sim, child), heap_at(sim, first)))
				first = child;
		}
		if (first == i)
			return true;
		swap_events(sim, i, first);
		i = first;
	}
}

/* --- load and faults --- */

static double random_exponential(sim_t *sim, double mean)
{
	return -mean * log(1 - g_rand_double(sim->random));
}

/* Returns the arrival rate that keeps all slots busy. */
static double capacity_per_s(void)
{
	double mean_us = 0;

	for (unsigned i = 0; i < CLASS_COUNT; i++)
		mean_us += classes[i].mean_service_us / CLASS_COUNT;
	return WORKERS * SLOTS / mean_us * (double)US_PER_S;
}

static double arrival_rate_per_s(const sim_t *sim)
{
	double mean = capacity_per_s() * MEAN_LOAD;

	if (sim->scenario != SURGE || sim->now_us < sim->window_start_us)
		return mean;
	return sim->now_us < sim->window_end_us ? mean * 5 : mean / 20;
}

static unsigned count_faulty_workers(scenario_t scenario)
{
	switch (scenario) {
	case FAILING_WORKER:
	case SLOW_WORKER:
		return 1;
	case HALF_RACK_DOWN:
		return 2;
	case ALL_FAILING:
		return WORKERS;
	case SURGE:
	case SCENARIO_COUNT:
		break;
	}
	return 0;
}

static bool is_faulty(const sim_t *sim, unsigned worker)
{
	if (sim->scenario == SURGE || sim->now_us < FAULT_START_US)
		return false;
	return worker < count_faulty_workers(sim->scenario);
}

static bool is_failing(const sim_t *sim, unsigned worker)
{
	return is_faulty(sim, worker) &&
	       (sim->scenario == FAILING_WORKER || sim->scenario == ALL_FAILING);
}

static uint64_t job_run_time_us(const sim_t *sim, unsigned worker, const request_t *request)
{
	bool slow = sim->scenario == SLOW_WORKER && is_faulty(sim, worker);

	return request->service_time_us * (slow ? 10 : 1);
}

/* --- results --- */

static void record_queue_length(sim_t *sim, uint64_t queued)
{
	if (queued == 0 && sim->queue_length > 0 && sim->now_us >= sim->window_end_us &&
	    sim->queue_drained_us == 0)
		sim->queue_drained_us = sim->now_us;
	sim->queue_length = queued;
	sim->max_queue_length = MAX(sim->max_queue_length, queued);
}

static bool in_window(const sim_t *sim, uint64_t at_us)
{
	return at_us >= sim->window_start_us && at_us < sim->window_end_us;
}

static void record_response(sim_t *sim, request_t *request)
{
	request->done = true;
	sim->ended_requests++;
	if (sim->now_us > request->deadline_us)
		sim->late_requests++;
	/* A surge offers more work than the slots can do, so a request counts if it ends in the
	 * window. In the other scenarios it counts if it arrived in the window. */
	else if (in_window(sim, sim->scenario == SURGE ? sim->now_us : request->arrival_us))
		sim->in_time_work_us += (double)request->service_time_us;
}

static request_t *new_request(sim_t *sim)
{
	request_t *request = g_new0(request_t, 1);

	request->sim = sim;
	request->class = g_rand_boolean(sim->random);
	request->arrival_us = sim->now_us;
	request->deadline_us = sim->now_us + classes[request->class].deadline_us;
	request->service_time_us =
		(uint64_t)random_exponential(sim, classes[request->class].mean_service_us) + 100;
	sim->request_count++;
	if (in_window(sim, sim->now_us))
		sim->offered_work_us += (double)request->service_time_us;
	return request;
}

/* --- lavenderpass --- */

static void handle_route_state(sim_t *sim, request_t *request, route_state_t state);

static void notify(route_ticket_t *ticket)
{
	request_t *request = (request_t *)ticket;

	g_queue_push_tail(&request->sim->notified, request);
}

/* Returns the maximum duration of an attempt, computed as in the proxy. */
static uint64_t attempt_time_limit_us(const sim_t *sim, const request_t *request)
{
	uint64_t remaining_us = request->deadline_us - sim->now_us;

	if (!request->ticket.repeatable || request->ticket.attempt_timeout_us == 0)
		return remaining_us;
	return MIN(MAX(request->ticket.attempt_timeout_us, ATTEMPT_TIMEOUT_MIN_US), remaining_us);
}

static void start_attempt(sim_t *sim, request_t *request)
{
	unsigned index = (unsigned)atoi(request->ticket.address);
	worker_t *worker = &sim->workers[index];
	uint64_t time_limit_us = attempt_time_limit_us(sim, request);
	uint64_t run_us = job_run_time_us(sim, index, request);
	bool faulty = is_faulty(sim, index);
	event_t result = {
		.kind = EVENT_ATTEMPT_END,
		.worker = index,
		.request = request,
		.started_us = sim->now_us,
		.result = ROUTER_OK,
		.at_us = sim->now_us + run_us,
	};

	sim->started_requests += request->attempts == 0;
	sim->attempt_count++;
	request->attempts++;
	if (is_failing(sim, index)) {
		result.result = ROUTER_FAILED;
		result.at_us = sim->now_us + FAILURE_DELAY_US;
	} else if (faulty && sim->scenario == HALF_RACK_DOWN) {
		result.at_us = UINT64_MAX;
	} else if (worker->busy_slots >= SLOTS) {
		result.result = ROUTER_REFUSED;
		result.at_us = sim->now_us + REFUSAL_DELAY_US;
	} else {
		worker->busy_slots++;
		push_event(
			sim,
			(event_t){.kind = EVENT_JOB_END, .worker = index, .at_us = result.at_us});
	}
	if (result.at_us > sim->now_us + time_limit_us) {
		result.result = ROUTER_FAILED;
		result.timed_out = true;
		result.at_us = sim->now_us + time_limit_us;
	}
	push_event(sim, result);
}

static void on_attempt_end(sim_t *sim, const event_t *event)
{
	request_t *request = event->request;
	bool may_retry = event->result == ROUTER_REFUSED || request->ticket.repeatable;

	request->ticket.timed_out = event->timed_out;
	route_finish_attempt(sim->routes, &request->ticket, event->result,
			     sim->now_us - event->started_us, sim->now_us);
	if (event->result == ROUTER_OK) {
		record_response(sim, request);
		handle_route_state(sim, request, ROUTE_REMOVED);
	} else if (may_retry && sim->now_us < request->deadline_us) {
		handle_route_state(sim, request,
				   route_retry(sim->routes, &request->ticket, true, sim->now_us));
	} else {
		/* A request that a healthy worker ran past its deadline counts as late, not as
		 * lost. */
		if (is_faulty(sim, event->worker) && sim->scenario != SLOW_WORKER)
			sim->lost_requests++;
		else
			sim->late_requests++;
		sim->ended_requests++;
		handle_route_state(sim, request, ROUTE_REMOVED);
	}
}

/* Acts on the routing state of a request: starts an attempt, leaves the request queued, or frees
 * it. */
static void handle_route_state(sim_t *sim, request_t *request, route_state_t state)
{
	if (state == ROUTE_QUEUED)
		return;
	if (state == ROUTE_GRANTED) {
		start_attempt(sim, request);
		return;
	}
	route_close_request(sim->routes, &request->ticket);
	g_free(request);
}

static void on_arrival(sim_t *sim)
{
	request_t *request = new_request(sim);
	route_ticket_t *ticket = &request->ticket;

	ticket->notify = notify;
	if (route_find_class(sim->routes, ticket, "org", "pool", classes[request->class].path) !=
	    ROUTE_CLASS_FOUND)
		g_error("no class");
	ticket->entry.deadline_us = request->deadline_us;
	ticket->entry.time_limit_us = classes[request->class].deadline_us;
	handle_route_state(sim, request, route_admit(sim->routes, ticket, NULL, sim->now_us));
}

static void announce_workers(sim_t *sim)
{
	for (unsigned i = 0; i < WORKERS; i++) {
		char vm[16];
		const route_announcement_t announcement = {.vm = vm, .announced_us = sim->now_us};

		g_snprintf(vm, sizeof(vm), "%u", i);
		if (!is_faulty(sim, i) || sim->scenario != HALF_RACK_DOWN)
			route_table_set_announcement(sim->routes, &announcement);
	}
}

static void record_load(void *arg, const route_load_t *load)
{
	record_queue_length(arg, load->queued);
}

static void on_tick(sim_t *sim)
{
	announce_workers(sim);
	route_tick(sim->routes, sim->now_us);
}

static void handle_notified_requests(sim_t *sim)
{
	request_t *request;

	while ((request = g_queue_pop_head(&sim->notified)) != NULL)
		handle_route_state(sim, request, request->ticket.state);
	route_table_for_each_load(sim->routes, record_load, sim);
}

static void create_routes(sim_t *sim, guint32 seed)
{
	const route_table_config_t config = {
		.shard_count = 1,
		.data_centre = "dc",
		.routing_lease_us = 4 * US_PER_S,
		.seed = seed,
		.open_limit = 100000,
	};
	Lp__RequestClass specs[CLASS_COUNT];
	Lp__RequestClass *spec_list[CLASS_COUNT];
	Lp__PoolSpec pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&pool};
	Lp__Template template = LP__TEMPLATE__INIT;

	sim->routes = route_table_create(&config);
	for (unsigned i = 0; i < CLASS_COUNT; i++) {
		lp__request_class__init(&specs[i]);
		specs[i].name = (char *)classes[i].path;
		specs[i].path_prefix = (char *)classes[i].path;
		specs[i].deadline_ms = (uint32_t)(classes[i].deadline_us / US_PER_MS);
		specs[i].repeatable = classes[i].repeatable;
		specs[i].queue_limit = 5000;
		spec_list[i] = &specs[i];
	}
	pool.name = "pool";
	pool.classes = spec_list;
	pool.n_classes = CLASS_COUNT;
	template.organisation = "org";
	template.pools = pools;
	template.n_pools = 1;
	route_table_set_template(sim->routes, &template);
	for (unsigned i = 0; i < WORKERS; i++) {
		char vm[16];
		const route_target_t target = {
			.vm = vm,
			.organisation = "org",
			.pool = "pool",
			.data_centre = "dc",
			.address = vm,
			.epoch = 1,
			.routable = true,
			.slots = SLOTS,
			.connections = 64,
		};

		g_snprintf(vm, sizeof(vm), "%u", i);
		route_table_set_target(sim->routes, &target);
	}
}

/* --- baseline --- */

/* Starts queued requests on the free slots of a worker. */
static void baseline_start_jobs(sim_t *sim, unsigned index)
{
	worker_t *worker = &sim->workers[index];
	bool failing = is_failing(sim, index);

	if (is_faulty(sim, index) && sim->scenario == HALF_RACK_DOWN)
		return;
	while (worker->busy_slots < SLOTS && !g_queue_is_empty(&worker->request_queue)) {
		request_t *request = g_queue_pop_head(&worker->request_queue);
		uint64_t run_us = failing ? FAILURE_DELAY_US : job_run_time_us(sim, index, request);

		sim->queue_length--;
		worker->busy_slots++;
		push_event(sim, (event_t){.kind = EVENT_JOB_END,
					  .worker = index,
					  .request = request,
					  .result = failing ? ROUTER_FAILED : ROUTER_OK,
					  .at_us = sim->now_us + run_us});
	}
	record_queue_length(sim, sim->queue_length);
}

/* Queues an attempt of a request at the next worker in turn. */
static void baseline_attempt(sim_t *sim, request_t *request)
{
	unsigned index = sim->next_worker++ % WORKERS;

	sim->started_requests += request->attempts == 0;
	sim->attempt_count++;
	request->attempts++;
	request->reference_count += 2;
	push_event(sim, (event_t){.kind = EVENT_CLIENT_TIMEOUT,
				  .worker = index,
				  .request = request,
				  .at_us = sim->now_us + classes[request->class].deadline_us});
	g_queue_push_tail(&sim->workers[index].request_queue, request);
	record_queue_length(sim, sim->queue_length + 1);
	baseline_start_jobs(sim, index);
}

static void baseline_unref(request_t *request)
{
	if (--request->reference_count == 0)
		g_free(request);
}

static void baseline_retry_or_fail(sim_t *sim, request_t *request, unsigned worker)
{
	if (request->done)
		return;
	if (request->attempts < BASELINE_MAX_ATTEMPTS) {
		baseline_attempt(sim, request);
		return;
	}
	if (is_faulty(sim, worker) && sim->scenario != SLOW_WORKER) {
		request->done = true;
		sim->lost_requests++;
		sim->ended_requests++;
	}
}

static void baseline_on_job_end(sim_t *sim, const event_t *event)
{
	request_t *request = event->request;

	sim->workers[event->worker].busy_slots--;
	if (event->result == ROUTER_OK && !request->done)
		record_response(sim, request);
	else if (event->result != ROUTER_OK)
		baseline_retry_or_fail(sim, request, event->worker);
	baseline_unref(request);
	baseline_start_jobs(sim, event->worker);
}

/* --- runs --- */

static void handle_event(sim_t *sim, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		if (sim->baseline)
			baseline_attempt(sim, new_request(sim));
		else
			on_arrival(sim);
		push_event(sim, (event_t){.kind = EVENT_ARRIVAL,
					  .at_us = sim->now_us + 1 +
						   (uint64_t)random_exponential(
							   sim, (double)US_PER_S /
									arrival_rate_per_s(sim))});
		break;
	case EVENT_TICK:
		on_tick(sim);
		push_event(sim,
			   (event_t){.kind = EVENT_TICK, .at_us = sim->now_us + TICK_INTERVAL_US});
		break;
	case EVENT_JOB_END:
		if (sim->baseline)
			baseline_on_job_end(sim, event);
		else
			sim->workers[event->worker].busy_slots--;
		break;
	case EVENT_ATTEMPT_END:
		on_attempt_end(sim, event);
		break;
	case EVENT_CLIENT_TIMEOUT:
		baseline_retry_or_fail(sim, event->request, event->worker);
		baseline_unref(event->request);
		break;
	}
	if (!sim->baseline)
		handle_notified_requests(sim);
}

static figures_t compute_figures(const sim_t *sim)
{
	unsigned faulty = sim->scenario == SURGE ? 0 : sim->scenario == HALF_RACK_DOWN ? 2 : 1;
	double slot_time_us = (double)(WORKERS - faulty) * SLOTS *
			      (double)(sim->window_end_us - sim->window_start_us);
	uint64_t drained_us = sim->queue_drained_us != 0 ? sim->queue_drained_us
							 : MAX(sim->end_us, sim->window_end_us);

	return (figures_t){
		.in_time_share =
			sim->in_time_work_us / MAX(MIN(slot_time_us, sim->offered_work_us), 1),
		.late_share = (double)sim->late_requests / (double)MAX(sim->ended_requests, 1),
		.longest_queue = (double)sim->max_queue_length,
		.queue_drain_ms = (double)(drained_us - sim->window_end_us) / (double)US_PER_MS,
		.attempts_per_request = (double)sim->attempt_count / (double)sim->started_requests,
		.lost_share = (double)sim->lost_requests / (double)sim->request_count,
	};
}

static figures_t simulate(scenario_t scenario, bool baseline, guint32 seed)
{
	sim_t sim = {
		.scenario = scenario,
		.baseline = baseline,
		.random = g_rand_new_with_seed(seed),
		.event_heap = g_array_new(FALSE, FALSE, sizeof(event_t)),
		.now_us = 1,
		.window_start_us = scenario == SURGE ? 5 * US_PER_S : FAULT_START_US,
		.window_end_us = 10 * US_PER_S,
		.end_us = scenario == SURGE ? 40 * US_PER_S : 11 * US_PER_S,
	};
	figures_t figures;
	event_t event;

	create_routes(&sim, seed);
	push_event(&sim, (event_t){.kind = EVENT_ARRIVAL, .at_us = 1000});
	push_event(&sim, (event_t){.kind = EVENT_TICK, .at_us = 1});
	while (pop_event(&sim, &event) && event.at_us < sim.end_us) {
		sim.now_us = event.at_us;
		handle_event(&sim, &event);
	}
	figures = compute_figures(&sim);
	/* The requests still in progress are not freed. */
	route_table_destroy(sim.routes);
	g_array_unref(sim.event_heap);
	g_rand_free(sim.random);
	return figures;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void print_figures(scenario_t scenario, bool baseline, const figures_t *figures_by_seed,
			  unsigned seed_count, bool csv)
{
	const char *system_name = baseline ? "baseline" : "lavenderpass";

	for (unsigned f = 0; f < FIGURE_COUNT; f++) {
		double *values;

		/* In the scenarios other than the surge, the fault lasts until the end of the run,
		 * so there is no time in which the queue could drain. */
		if (f == FIGURE_QUEUE_DRAIN && scenario != SURGE)
			continue;
		values = g_new(double, seed_count);
		for (unsigned i = 0; i < seed_count; i++)
			values[i] = ((const double *)&figures_by_seed[i])[f];
		qsort(values, seed_count, sizeof(double), compare_doubles);
		printf(csv ? "%s,%s,%s,%.4f,%.4f,%.4f\n"
			   : "%-15s %-13s %-15s %10.4f %10.4f %10.4f\n",
		       scenario_names[scenario], system_name, figure_names[f],
		       values[seed_count / 2], values[0], values[seed_count - 1]);
		g_free(values);
	}
}

int main(int argc, char **argv)
{
	bool csv = argc > 1 && strcmp(argv[1], "--csv") == 0;
	unsigned seed_count = argc > 1 + csv ? (unsigned)strtoul(argv[1 + csv], NULL, 10) : 5;
	figures_t *figures_by_seed;

	if (seed_count == 0)
		return 1;
	figures_by_seed = g_new(figures_t, seed_count);
	printf(csv ? "scenario,system,figure,median,least,greatest\n"
		   : "scenario        system        figure              median      least   "
		     "greatest\n");
	for (scenario_t scenario = SURGE; scenario < SCENARIO_COUNT; scenario++) {
		for (int baseline = 0; baseline <= 1; baseline++) {
			for (unsigned i = 0; i < seed_count; i++)
				figures_by_seed[i] = simulate(scenario, baseline, i + 1);
			print_figures(scenario, baseline, figures_by_seed, seed_count, csv);
		}
	}
	g_free(figures_by_seed);
	return 0;
}
