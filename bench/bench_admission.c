/*
 * Admission, routing and retries of one pool in virtual time, against a baseline: round robin over
 * the workers, each with an unbounded queue, and up to three attempts without a budget. The
 * baseline also retries what may not be repeated, so that its lost requests are not comparable.
 *
 * usage: bench_admission [--csv] [seeds]
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
#define CLASSES 2
#define MEAN_LOAD 0.5 /* of the pool's slots */
#define FAIL_US 1000
#define REFUSE_US 500
#define TICK_US (20 * US_PER_MS)
#define BASELINE_ATTEMPTS 3
#define FAULT_AT_US (2 * US_PER_S)
#define PATIENCE_MIN_US (200 * US_PER_MS)

static const struct {
	const char *path;
	uint64_t deadline_us;
	double service_us; /* mean of an exponential distribution */
	bool repeatable;
} classes[CLASSES] = {
	{"/read", 500 * US_PER_MS, 10 * US_PER_MS, true},
	{"/post", 500 * US_PER_MS, 30 * US_PER_MS, false},
};

typedef enum {
	SURGE,
	FAILING_WORKER,
	SLOW_WORKER,
	HALF_RACK_GONE,
	ALL_FAILING,
	SCENARIOS,
} scenario_t;

static const char *const scenario_names[] = {"surge", "failing worker", "slow worker",
					     "half rack gone", "all failing"};

typedef struct {
	double in_time;	      /* of what the slots allow */
	double late;	      /* late answers, of all answers */
	double queue;	      /* longest */
	double empty_ms;      /* from the end of the surge until the queue is empty */
	double amplification; /* attempts by request that had one */
	double lost;	      /* requests that ended with the fault of a bad worker */
} figures_t;

#define FIGURES 6
#define FIGURE_EMPTY 3
static const char *const figure_names[FIGURES] = {
	"in time", "late", "longest queue", "empty after ms", "amplification", "lost"};

typedef struct request {
	route_ticket_t ticket; /* first */
	struct sim *sim;
	uint64_t arrival_us;
	uint64_t deadline_us;
	uint64_t service_us;
	unsigned class;
	unsigned attempts;
	unsigned references; /* of the baseline's jobs */
	bool done;
} request_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_TICK,
	EVENT_END,     /* a worker ends a job */
	EVENT_RESULT,  /* the entry process sees the end of an attempt */
	EVENT_TIMEOUT, /* baseline: the client gives up an attempt */
} event_kind_t;

typedef struct {
	uint64_t at_us;
	uint64_t order;
	event_kind_t kind;
	unsigned worker;
	request_t *request;
	uint64_t started_us;
	router_result_t result;
	bool timed_out;
} event_t;

typedef struct {
	unsigned busy;
	GQueue waiting; /* baseline: request_t */
} worker_t;

typedef struct sim {
	scenario_t scenario;
	bool baseline;
	GRand *random;
	GArray *heap; /* event_t */
	uint64_t order;
	uint64_t now_us;
	uint64_t end_us;
	uint64_t window_from_us;
	uint64_t window_to_us;
	worker_t workers[WORKERS];
	unsigned next_worker;
	route_table_t *routes;
	GQueue notified; /* request_t */
	uint64_t requests;
	uint64_t started; /* requests with at least one attempt */
	uint64_t attempts;
	uint64_t answers;
	uint64_t late;
	uint64_t lost;
	double offered_work;
	double in_time_work;
	uint64_t queued;
	uint64_t queue_max;
	uint64_t empty_at_us;
} sim_t;

/* --- events --- */

static bool earlier(const event_t *a, const event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static event_t *at(sim_t *sim, guint i)
{
	return &g_array_index(sim->heap, event_t, i);
}

static void swap(sim_t *sim, guint a, guint b)
{
	event_t kept = *at(sim, a);

	*at(sim, a) = *at(sim, b);
	*at(sim, b) = kept;
}

static void push(sim_t *sim, event_t event)
{
	guint i = sim->heap->len;

	event.order = sim->order++;
	g_array_append_val(sim->heap, event);
	while (i > 0 && earlier(at(sim, i), at(sim, (i - 1) / 2))) {
		swap(sim, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static bool pop(sim_t *sim, event_t *event)
{
	guint i = 0;

	if (sim->heap->len == 0)
		return false;
	*event = *at(sim, 0);
	swap(sim, 0, sim->heap->len - 1);
	g_array_set_size(sim->heap, sim->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < sim->heap->len && earlier(at(sim, child), at(sim, least)))
				least = child;
		}
		if (least == i)
			return true;
		swap(sim, i, least);
		i = least;
	}
}

/* --- load and faults --- */

static double exponential(sim_t *sim, double mean)
{
	return -mean * log(1 - g_rand_double(sim->random));
}

/* Requests per second that use all slots. */
static double capacity_per_s(void)
{
	double mean_us = 0;

	for (unsigned i = 0; i < CLASSES; i++)
		mean_us += classes[i].service_us / CLASSES;
	return WORKERS * SLOTS / mean_us * (double)US_PER_S;
}

static double rate_per_s(const sim_t *sim)
{
	double mean = capacity_per_s() * MEAN_LOAD;

	if (sim->scenario != SURGE || sim->now_us < sim->window_from_us)
		return mean;
	return sim->now_us < sim->window_to_us ? mean * 5 : mean / 20;
}

static unsigned bad_workers(scenario_t scenario)
{
	switch (scenario) {
	case FAILING_WORKER:
	case SLOW_WORKER:
		return 1;
	case HALF_RACK_GONE:
		return 2;
	case ALL_FAILING:
		return WORKERS;
	case SURGE:
	case SCENARIOS:
		break;
	}
	return 0;
}

static bool is_bad(const sim_t *sim, unsigned worker)
{
	if (sim->scenario == SURGE || sim->now_us < FAULT_AT_US)
		return false;
	return worker < bad_workers(sim->scenario);
}

static bool is_failing(const sim_t *sim, unsigned worker)
{
	return is_bad(sim, worker) &&
	       (sim->scenario == FAILING_WORKER || sim->scenario == ALL_FAILING);
}

static uint64_t run_time_us(const sim_t *sim, unsigned worker, const request_t *request)
{
	bool slow = sim->scenario == SLOW_WORKER && is_bad(sim, worker);

	return request->service_us * (slow ? 10 : 1);
}

/* --- results --- */

static void note_queue(sim_t *sim, uint64_t queued)
{
	if (queued == 0 && sim->queued > 0 && sim->now_us >= sim->window_to_us &&
	    sim->empty_at_us == 0)
		sim->empty_at_us = sim->now_us;
	sim->queued = queued;
	sim->queue_max = MAX(sim->queue_max, queued);
}

static bool in_window(const sim_t *sim, uint64_t at_us)
{
	return at_us >= sim->window_from_us && at_us < sim->window_to_us;
}

static void note_answer(sim_t *sim, request_t *request)
{
	request->done = true;
	sim->answers++;
	if (sim->now_us > request->deadline_us)
		sim->late++;
	/* In the surge the slots bound the answers, otherwise the requests do. */
	else if (in_window(sim, sim->scenario == SURGE ? sim->now_us : request->arrival_us))
		sim->in_time_work += (double)request->service_us;
}

static request_t *new_request(sim_t *sim)
{
	request_t *request = g_new0(request_t, 1);

	request->sim = sim;
	request->class = g_rand_boolean(sim->random);
	request->arrival_us = sim->now_us;
	request->deadline_us = sim->now_us + classes[request->class].deadline_us;
	request->service_us = (uint64_t)exponential(sim, classes[request->class].service_us) + 100;
	sim->requests++;
	if (in_window(sim, sim->now_us))
		sim->offered_work += (double)request->service_us;
	return request;
}

/* --- lavenderpass --- */

static void handle(sim_t *sim, request_t *request, route_state_t state);

static void notify(route_ticket_t *ticket)
{
	request_t *request = (request_t *)ticket;

	g_queue_push_tail(&request->sim->notified, request);
}

/* As the proxy does: how long an attempt may take. */
static uint64_t attempt_limit_us(const sim_t *sim, const request_t *request)
{
	uint64_t remaining_us = request->deadline_us - sim->now_us;

	if (!request->ticket.repeatable || request->ticket.patience_us == 0)
		return remaining_us;
	return MIN(MAX(request->ticket.patience_us, PATIENCE_MIN_US), remaining_us);
}

static void start_attempt(sim_t *sim, request_t *request)
{
	unsigned index = (unsigned)atoi(request->ticket.address);
	worker_t *worker = &sim->workers[index];
	uint64_t limit_us = attempt_limit_us(sim, request);
	uint64_t run_us = run_time_us(sim, index, request);
	bool bad = is_bad(sim, index);
	event_t result = {
		.kind = EVENT_RESULT,
		.worker = index,
		.request = request,
		.started_us = sim->now_us,
		.result = ROUTER_OK,
		.at_us = sim->now_us + run_us,
	};

	sim->started += request->attempts == 0;
	sim->attempts++;
	request->attempts++;
	if (is_failing(sim, index)) {
		result.result = ROUTER_FAILED;
		result.at_us = sim->now_us + FAIL_US;
	} else if (bad && sim->scenario == HALF_RACK_GONE) {
		result.at_us = UINT64_MAX;
	} else if (worker->busy >= SLOTS) {
		result.result = ROUTER_REFUSED;
		result.at_us = sim->now_us + REFUSE_US;
	} else {
		worker->busy++;
		push(sim, (event_t){.kind = EVENT_END, .worker = index, .at_us = result.at_us});
	}
	if (result.at_us > sim->now_us + limit_us) {
		result.result = ROUTER_FAILED;
		result.timed_out = true;
		result.at_us = sim->now_us + limit_us;
	}
	push(sim, result);
}

static void on_result(sim_t *sim, const event_t *event)
{
	request_t *request = event->request;
	bool again = event->result == ROUTER_REFUSED || request->ticket.repeatable;

	request->ticket.timed_out = event->timed_out;
	route_finish(sim->routes, &request->ticket, event->result, sim->now_us - event->started_us,
		     sim->now_us);
	if (event->result == ROUTER_OK) {
		note_answer(sim, request);
		handle(sim, request, ROUTE_GONE);
	} else if (again && sim->now_us < request->deadline_us) {
		handle(sim, request, route_retry(sim->routes, &request->ticket, true, sim->now_us));
	} else {
		/* A deadline missed by a sound worker is a late answer. */
		if (is_bad(sim, event->worker) && sim->scenario != SLOW_WORKER)
			sim->lost++;
		else
			sim->late++;
		sim->answers++;
		handle(sim, request, ROUTE_GONE);
	}
}

static void handle(sim_t *sim, request_t *request, route_state_t state)
{
	if (state == ROUTE_QUEUED)
		return;
	if (state == ROUTE_GRANTED) {
		start_attempt(sim, request);
		return;
	}
	route_close(sim->routes, &request->ticket);
	g_free(request);
}

static void on_arrival(sim_t *sim)
{
	request_t *request = new_request(sim);
	route_ticket_t *ticket = &request->ticket;

	ticket->notify = notify;
	if (route_open(sim->routes, ticket, "org", "pool", classes[request->class].path) !=
	    ROUTE_OPENED)
		g_error("no class");
	ticket->entry.deadline_us = request->deadline_us;
	ticket->entry.allowance_us = classes[request->class].deadline_us;
	handle(sim, request, route_admit(sim->routes, ticket, NULL, sim->now_us));
}

static void announce(sim_t *sim)
{
	for (unsigned i = 0; i < WORKERS; i++) {
		char vm[16];
		const route_announcement_t announcement = {.vm = vm, .at_us = sim->now_us};

		g_snprintf(vm, sizeof(vm), "%u", i);
		if (!is_bad(sim, i) || sim->scenario != HALF_RACK_GONE)
			route_table_announce(sim->routes, &announcement);
	}
}

static void count_queue(void *arg, const route_load_t *load)
{
	note_queue(arg, load->queued);
}

static void on_tick(sim_t *sim)
{
	announce(sim);
	route_tick(sim->routes, sim->now_us);
}

static void run_notified(sim_t *sim)
{
	request_t *request;

	while ((request = g_queue_pop_head(&sim->notified)) != NULL)
		handle(sim, request, request->ticket.state);
	route_table_loads(sim->routes, count_queue, sim);
}

static void set_up_routes(sim_t *sim, guint32 seed)
{
	const route_table_config_t config = {
		.shard_count = 1,
		.data_centre = "dc",
		.routing_lease_us = 4 * US_PER_S,
		.seed = seed,
		.open_limit = 100000,
	};
	Lp__RequestClass specs[CLASSES];
	Lp__RequestClass *spec_list[CLASSES];
	Lp__PoolSpec pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&pool};
	Lp__Template template = LP__TEMPLATE__INIT;

	sim->routes = route_table_create(&config);
	for (unsigned i = 0; i < CLASSES; i++) {
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
	pool.n_classes = CLASSES;
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

static void baseline_start(sim_t *sim, unsigned index)
{
	worker_t *worker = &sim->workers[index];
	bool failing = is_failing(sim, index);

	if (is_bad(sim, index) && sim->scenario == HALF_RACK_GONE)
		return;
	while (worker->busy < SLOTS && !g_queue_is_empty(&worker->waiting)) {
		request_t *request = g_queue_pop_head(&worker->waiting);
		uint64_t run_us = failing ? FAIL_US : run_time_us(sim, index, request);

		sim->queued--;
		worker->busy++;
		push(sim, (event_t){.kind = EVENT_END,
				    .worker = index,
				    .request = request,
				    .result = failing ? ROUTER_FAILED : ROUTER_OK,
				    .at_us = sim->now_us + run_us});
	}
	note_queue(sim, sim->queued);
}

static void baseline_attempt(sim_t *sim, request_t *request)
{
	unsigned index = sim->next_worker++ % WORKERS;

	sim->started += request->attempts == 0;
	sim->attempts++;
	request->attempts++;
	request->references += 2;
	push(sim, (event_t){.kind = EVENT_TIMEOUT,
			    .worker = index,
			    .request = request,
			    .at_us = sim->now_us + classes[request->class].deadline_us});
	g_queue_push_tail(&sim->workers[index].waiting, request);
	note_queue(sim, sim->queued + 1);
	baseline_start(sim, index);
}

static void baseline_unref(request_t *request)
{
	if (--request->references == 0)
		g_free(request);
}

static void baseline_retry(sim_t *sim, request_t *request, unsigned worker)
{
	if (request->done)
		return;
	if (request->attempts < BASELINE_ATTEMPTS) {
		baseline_attempt(sim, request);
		return;
	}
	if (is_bad(sim, worker) && sim->scenario != SLOW_WORKER) {
		request->done = true;
		sim->lost++;
		sim->answers++;
	}
}

static void baseline_end(sim_t *sim, const event_t *event)
{
	request_t *request = event->request;

	sim->workers[event->worker].busy--;
	if (event->result == ROUTER_OK && !request->done)
		note_answer(sim, request);
	else if (event->result != ROUTER_OK)
		baseline_retry(sim, request, event->worker);
	baseline_unref(request);
	baseline_start(sim, event->worker);
}

/* --- runs --- */

static void step(sim_t *sim, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		if (sim->baseline)
			baseline_attempt(sim, new_request(sim));
		else
			on_arrival(sim);
		push(sim, (event_t){.kind = EVENT_ARRIVAL,
				    .at_us = sim->now_us + 1 +
					     (uint64_t)exponential(sim, (double)US_PER_S /
										rate_per_s(sim))});
		break;
	case EVENT_TICK:
		on_tick(sim);
		push(sim, (event_t){.kind = EVENT_TICK, .at_us = sim->now_us + TICK_US});
		break;
	case EVENT_END:
		if (sim->baseline)
			baseline_end(sim, event);
		else
			sim->workers[event->worker].busy--;
		break;
	case EVENT_RESULT:
		on_result(sim, event);
		break;
	case EVENT_TIMEOUT:
		baseline_retry(sim, event->request, event->worker);
		baseline_unref(event->request);
		break;
	}
	if (!sim->baseline)
		run_notified(sim);
}

static figures_t figures_of(const sim_t *sim)
{
	unsigned bad = sim->scenario == SURGE ? 0 : sim->scenario == HALF_RACK_GONE ? 2 : 1;
	double slot_time =
		(double)(WORKERS - bad) * SLOTS * (double)(sim->window_to_us - sim->window_from_us);
	uint64_t empty_us =
		sim->empty_at_us != 0 ? sim->empty_at_us : MAX(sim->end_us, sim->window_to_us);

	return (figures_t){
		.in_time = sim->in_time_work / MAX(MIN(slot_time, sim->offered_work), 1),
		.late = (double)sim->late / (double)MAX(sim->answers, 1),
		.queue = (double)sim->queue_max,
		.empty_ms = (double)(empty_us - sim->window_to_us) / (double)US_PER_MS,
		.amplification = (double)sim->attempts / (double)sim->started,
		.lost = (double)sim->lost / (double)sim->requests,
	};
}

static figures_t run(scenario_t scenario, bool baseline, guint32 seed)
{
	sim_t sim = {
		.scenario = scenario,
		.baseline = baseline,
		.random = g_rand_new_with_seed(seed),
		.heap = g_array_new(FALSE, FALSE, sizeof(event_t)),
		.now_us = 1,
		.window_from_us = scenario == SURGE ? 5 * US_PER_S : FAULT_AT_US,
		.window_to_us = 10 * US_PER_S,
		.end_us = scenario == SURGE ? 40 * US_PER_S : 11 * US_PER_S,
	};
	figures_t figures;
	event_t event;

	set_up_routes(&sim, seed);
	push(&sim, (event_t){.kind = EVENT_ARRIVAL, .at_us = 1000});
	push(&sim, (event_t){.kind = EVENT_TICK, .at_us = 1});
	while (pop(&sim, &event) && event.at_us < sim.end_us) {
		sim.now_us = event.at_us;
		step(&sim, &event);
	}
	figures = figures_of(&sim);
	/* Requests in progress are left to the end of the program. */
	route_table_destroy(sim.routes);
	g_array_unref(sim.heap);
	g_rand_free(sim.random);
	return figures;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void report(scenario_t scenario, bool baseline, const figures_t *runs, unsigned seeds,
		   bool csv)
{
	const char *system = baseline ? "baseline" : "lavenderpass";

	for (unsigned f = 0; f < FIGURES; f++) {
		double *values;

		/* Only the surge ends within the run. */
		if (f == FIGURE_EMPTY && scenario != SURGE)
			continue;
		values = g_new(double, seeds);
		for (unsigned i = 0; i < seeds; i++)
			values[i] = ((const double *)&runs[i])[f];
		qsort(values, seeds, sizeof(double), compare_doubles);
		printf(csv ? "%s,%s,%s,%.4f,%.4f,%.4f\n"
			   : "%-15s %-13s %-15s %10.4f %10.4f %10.4f\n",
		       scenario_names[scenario], system, figure_names[f], values[seeds / 2],
		       values[0], values[seeds - 1]);
		g_free(values);
	}
}

int main(int argc, char **argv)
{
	bool csv = argc > 1 && strcmp(argv[1], "--csv") == 0;
	unsigned seeds = argc > 1 + csv ? (unsigned)strtoul(argv[1 + csv], NULL, 10) : 5;
	figures_t *runs;

	if (seeds == 0)
		return 1;
	runs = g_new(figures_t, seeds);
	printf(csv ? "scenario,system,figure,median,least,greatest\n"
		   : "scenario        system        figure              median      least   "
		     "greatest\n");
	for (scenario_t scenario = SURGE; scenario < SCENARIOS; scenario++) {
		for (int baseline = 0; baseline <= 1; baseline++) {
			for (unsigned i = 0; i < seeds; i++)
				runs[i] = run(scenario, baseline, i + 1);
			report(scenario, baseline, runs, seeds, csv);
		}
	}
	g_free(runs);
	return 0;
}
