#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "batch_capacity.h"
#include "batch_leader_internal.h"
#include "batch_order.h"
#include "log.h"
#include "vm_evidence.h"

/* Interval between requests for the platform's list of machines; each request has a cost.
 * LIST_URGENT_PERIOD_US applies while a VM with tasks is unresponsive, because the list shows
 * whether its machine is down. */
#define LIST_PERIOD_US (8 * US_PER_S)
#define LIST_URGENT_PERIOD_US (1 * US_PER_S)
/* A machine has left the fleet when this many readings of the list in a row lack it: one reading
 * can lack a machine if the list changes between two pages. */
#define READINGS_MISSED_MAX 2
/* Interval between runs of the capacity planning, which decides the sizes of the pools. A surge
 * builds up over seconds, and a move takes 1.5 s. */
#define CAPACITY_PERIOD_US (200 * US_PER_MS)
/* Lag of this process from which the moves are limited, and the divisor of their number then. */
#define MOVES_LAG_US (100 * US_PER_MS)
#define BEHIND_MOVES_DIVISOR 4
/* Delay before repeating a move request that was unanswered, or refused because the machine is
 * busy. */
#define MOVE_RETRY_US (400 * US_PER_MS)
/* A move is abandoned after this many BUSY responses, which mean that the machine is not up or
 * is leaving its pool. */
#define BUSY_REPLIES_MAX 4
/* After a move, a machine must report within the expected duration of the move plus this time. */
#define ARRIVAL_GRACE_US (4 * US_PER_S)
#define STANDBY_GRACE_US (200 * US_PER_MS)
/* Time span over which demand is extrapolated, in s; about the duration of a move. */
#define FORECAST_WINDOW_S 1.5
/* Upper limit of the extrapolated demand, as a multiple of the present demand. */
#define FORECAST_MAX 2.0
/* Factors applied to the demand of jobs that cannot meet their objective any more, and of those
 * that are worth nothing any more. Such jobs only use spare capacity. */
#define LATE_JOB_WEIGHT 0.3
#define VERY_LATE_JOB_WEIGHT 0.1
/* A job that is older than this when it is first seen came before, such as one that is replayed
 * from the log, and says nothing about the present demand. */
#define ARRIVAL_AGE_MAX_MS 1500
/* Time to detect that a reserve is due and to order its moves, added to the duration of a move. */
#define RESERVE_LEAD_US (1000 * US_PER_MS)
/* Share of all machines that a pool's surge takes, for the time needed to move them. */
#define SURGE_MACHINES_SHARE 0.4
/* The limit of moves is divided by this while the start window is full. */
#define FULL_WINDOW_MOVES_DIVISOR 16
/* Tasks that run for longer than declared are expected to end within this time. */
#define OVERDUE_TASK_MS 200
/* Expected time from the decision to stop a task until its VM has listed the end of its run. */
#define STOP_TASK_MS 300
/* Longest time from the proposal of a platform request until the leader sends the request; a leader
 * that is behind when its command is applied drops the request after this time. Longer than most
 * commits of a leader under load take. */
#define REQUEST_SEND_DELAY_MAX_US (1000 * US_PER_MS)
/* Lower limit of a job's remaining critical path, in ms. A job's demand is estimated as its
 * remaining work divided by its remaining critical path. */
#define CRITICAL_PATH_MIN_MS 300

leader_machine_t *leader_find_machine(const batch_leader_t *leader, const char *name)
{
	return g_hash_table_lookup(leader->machines, name);
}

leader_machine_t *leader_machine_add(batch_leader_t *leader, const char *name)
{
	leader_machine_t *machine = leader_find_machine(leader, name);

	if (machine != NULL)
		return machine;
	machine = g_new0(leader_machine_t, 1);
	machine->name = g_strdup(name);
	machine->pool = g_strdup("");
	g_hash_table_insert(leader->machines, machine->name, machine);
	return machine;
}

static void set_pool(leader_machine_t *machine, const char *pool)
{
	if (strcmp(machine->pool, pool) == 0)
		return;
	g_free(machine->pool);
	machine->pool = g_strdup(pool);
}

void leader_machine_free(void *data)
{
	leader_machine_t *machine = data;

	g_free(machine->name);
	g_free(machine->pool);
	g_free(machine->drain_to);
	g_free(machine);
}

void leader_machine_reported(batch_leader_t *leader, const leader_vm_t *vm)
{
	leader_machine_t *machine;

	if (vm->machine[0] == '\0')
		return;
	machine = leader_machine_add(leader, vm->machine);
	set_pool(machine, vm->service);
	machine->cores = vm->cpu_milli / 1000.0;
	machine->up = true;
	machine->arrival_deadline_us = 0;
}

/* --- list of machines --- */

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
} list_call_t;

/* An entry for a pool that is neither known nor the machine's own is possibly from another system.
 */
static bool is_pool_known(batch_leader_t *leader, const leader_machine_t *machine,
			  const machine_info_t *listed)
{
	return (machine != NULL && strcmp(machine->pool, listed->pool) == 0) ||
	       leader_service_known(leader, listed->pool);
}

static vm_listing_verdict_t judge_listed(batch_leader_t *leader, const leader_vm_t *vm,
					 const machine_info_t *listed)
{
	const leader_machine_t *machine = leader_find_machine(leader, listed->machine);

	return vm_evidence_of_listing(vm->id, listed, is_pool_known(leader, machine, listed));
}

static void note_listed_state(batch_leader_t *leader, const machine_info_t *listed)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, listed->machine);
	vm_listing_verdict_t verdict;

	if (vm == NULL)
		return;
	verdict = judge_listed(leader, vm, listed);
	if (verdict != VM_LISTED_NOTHING)
		vm->listed_down = verdict == VM_LISTED_DOWN;
}

/* Marks the machine's VM as dead if it is unresponsive and the platform lists the machine as
 * down or with another VM. A list that was requested before the VM fell silent is possibly of the
 * time before this VM. */
static void check_unresponsive_vm(batch_leader_t *leader, const machine_info_t *listed)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, listed->machine);

	if (vm == NULL || !vm->unresponsive ||
	    vm->unresponsive_since_us > leader->list_requested_us)
		return;
	switch (judge_listed(leader, vm, listed)) {
	case VM_LISTED_NOTHING:
	case VM_LISTED_PRESENT:
		break;
	case VM_LISTED_DOWN:
		leader_vm_mark_dead(vm, "the platform says that its machine is down");
		break;
	case VM_LISTED_GONE:
		leader_vm_mark_dead(vm, "the platform says that its machine runs another VM");
		break;
	}
}

static void update_machine(batch_leader_t *leader, const machine_info_t *listed)
{
	leader_machine_t *machine = leader_find_machine(leader, listed->machine);
	bool usable =
		!listed->name_only && (machine == NULL || is_pool_known(leader, machine, listed));
	uint64_t now_us = leader_now_us(leader);

	machine = leader_machine_add(leader, listed->machine);
	machine->listed_reading = leader->list_reading;
	if (!usable)
		return;
	check_unresponsive_vm(leader, listed);
	/* The list is possibly older than a move of the machine that is in progress or just
	 * complete. */
	if (machine->request_in_flight || now_us < machine->arrival_deadline_us)
		return;
	if (leader_vm_of_machine(leader, listed->machine) == NULL) {
		set_pool(machine, listed->pool);
		machine->up = listed->up;
		machine->cores = listed->cpu_milli / 1000.0;
	}
}

static bool is_listed(const batch_leader_t *leader, const leader_vm_t *vm)
{
	const leader_machine_t *machine = leader_find_machine(leader, vm->machine);

	return machine != NULL && machine->listed_reading == leader->list_reading;
}

/* Marks unresponsive VMs as dead whose machines have left the platform's list. Otherwise their runs
 * would wait for the latest possible expiry of the lease, which is 17 s away after a change of the
 * leader. */
static void check_unlisted_vms(batch_leader_t *leader)
{
	leader_vm_t *vm;

	LIST_FOREACH (vm, &leader->vms, link) {
		if (vm->dead || vm->machine[0] == '\0')
			continue;
		if (!vm->unresponsive || vm->unresponsive_since_us > leader->list_requested_us ||
		    is_listed(leader, vm))
			vm->readings_missed = 0;
		else if (++vm->readings_missed >= READINGS_MISSED_MAX)
			leader_vm_mark_dead(vm, "its machine has left the platform's list");
	}
}

static void request_page(batch_leader_t *leader, const char *page);

static void on_list(void *arg, const machine_list_t *list)
{
	g_autofree list_call_t *call = arg;
	batch_leader_t *leader = call->leader;

	if (!leader->active || call->generation != leader->generation)
		return;
	leader->list_in_flight = false;
	for (size_t i = 0; i < list->machine_count; i++)
		note_listed_state(leader, &list->machines[i]);
	for (size_t i = 0; i < list->machine_count; i++)
		update_machine(leader, &list->machines[i]);
	leader->listed_count += list->machine_count;
	if (list->answered && list->next_page != NULL) {
		request_page(leader, list->next_page);
	} else if (list->answered) {
		leader->list_complete = true;
		if (leader->listed_count > 0)
			check_unlisted_vms(leader);
	}
}

static void request_page(batch_leader_t *leader, const char *page)
{
	list_call_t *call = g_new0(list_call_t, 1);

	*call = (list_call_t){.leader = leader, .generation = leader->generation};
	leader->list_in_flight = true;
	leader->port.machines(leader->port.arg, page, on_list, call);
}

static bool has_unresponsive_vm(const batch_leader_t *leader, uint64_t now_us)
{
	leader_vm_t *vm;

	LIST_FOREACH (vm, &leader->vms, link) {
		const batch_vm_t *record = leader_vm_record(vm);

		if (!vm->dead && vm->unresponsive &&
		    now_us > vm->unresponsive_since_us + LIST_URGENT_PERIOD_US / 2 &&
		    record != NULL && record->task_count > 0)
			return true;
	}
	return false;
}

static void machine_list_tick(batch_leader_t *leader, uint64_t now_us)
{
	uint64_t period_us = has_unresponsive_vm(leader, now_us) || !leader->list_complete
				     ? LIST_URGENT_PERIOD_US
				     : LIST_PERIOD_US;

	if (leader->list_in_flight || now_us < leader->list_requested_us + period_us)
		return;
	leader->list_requested_us = now_us;
	leader->list_reading++;
	leader->listed_count = 0;
	request_page(leader, NULL);
}

/* --- moves --- */

machine_call_t *machine_call_new(batch_leader_t *leader, const char *machine, const char *pool,
				 uint64_t wave)
{
	machine_call_t *call = g_new0(machine_call_t, 1);
	const leader_vm_t *vm = leader_vm_of_machine(leader, machine);

	call->leader = leader;
	call->generation = leader->generation;
	call->created_us = leader_now_us(leader);
	call->wave = wave;
	call->born_ms = vm != NULL ? vm->born_ms : 0;
	g_strlcpy(call->machine, machine, sizeof(call->machine));
	if (pool != NULL)
		g_strlcpy(call->pool, pool, sizeof(call->pool));
	return call;
}

leader_machine_t *machine_call_get(const machine_call_t *call)
{
	if (!call->leader->active || call->generation != call->leader->generation)
		return NULL;
	return leader_find_machine(call->leader, call->machine);
}

bool machine_call_may_send(const machine_call_t *call)
{
	return leader_now_us(call->leader) <= call->created_us + REQUEST_SEND_DELAY_MAX_US;
}

void machine_call_propose(machine_call_t *call, Lp__BatchOrderState state, batch_proposed_fn done)
{
	Lp__BatchOrder order = LP__BATCH_ORDER__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	order.machine = call->machine;
	order.pool = call->pool;
	order.wave = call->wave;
	order.state = state;
	if (call->pool[0] == '\0' && state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT)
		order.born_ms = call->born_ms;
	command.body_case = LP__BATCH_COMMAND__BODY_ORDER;
	command.order = &order;
	leader_propose(call->leader, &command, done, call);
}

static void on_move_result_committed(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *move = arg;
	leader_machine_t *machine = machine_call_get(move);

	if (machine != NULL)
		machine->request_in_flight = false;
}

static void propose_move_result(batch_leader_t *leader, leader_machine_t *machine, const char *pool,
				Lp__BatchOrderState state)
{
	machine_call_propose(machine_call_new(leader, machine->name, pool, 0), state,
			     on_move_result_committed);
}

static void uncordon(batch_leader_t *leader, const leader_machine_t *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	if (vm != NULL)
		vm->cordoned = false;
	leader->placement_due = true;
}

static bool is_standby(const batch_leader_t *leader, const char *pool)
{
	const Lp__BatchService *service = batch_state_service(leader->state, pool);

	return service != NULL && service->standby;
}

/* Handles a successful move request. @param born_ms start time of the VM that the move ended; a
 * later VM of the machine has possibly reported before the response arrived */
static void finish_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool,
			uint64_t born_ms)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	if (vm != NULL && vm->born_ms > born_ms) {
		propose_move_result(leader, machine, pool, LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
		return;
	}
	if (vm != NULL) {
		vm->planned_end = true;
		leader_vm_mark_dead(vm, "its machine was moved to another pool");
	}
	set_pool(machine, pool);
	/* A machine in the standby pool is switched off and does not report. It counts as up, so
	 * that it can be moved again once this move is complete. */
	machine->up = is_standby(leader, pool);
	machine->arrival_deadline_us = leader_now_us(leader) + leader->config.move_ms * US_PER_MS +
				       (machine->up ? STANDBY_GRACE_US : ARRIVAL_GRACE_US);
	propose_move_result(leader, machine, pool, LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
}

static void on_move_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree machine_call_t *move = arg;
	batch_leader_t *leader = move->leader;
	leader_machine_t *machine = machine_call_get(move);

	if (machine == NULL)
		return;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("machine", move->machine, "from", machine->pool, "to", move->pool,
			     "reply", vm_reply_name(reply->code)),
		  "result of move request");
	machine->retry_us = leader_now_us(leader) + MOVE_RETRY_US;
	if (reply->code == VM_REPLY_OK) {
		finish_move(leader, machine, move->pool, move->born_ms);
	} else if (reply->code == VM_REPLY_INVALID || reply->code == VM_REPLY_FENCED ||
		   (reply->code == VM_REPLY_BUSY && ++machine->busy_replies >= BUSY_REPLIES_MAX)) {
		uncordon(leader, machine);
		propose_move_result(leader, machine, move->pool,
				    LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE);
	} else {
		/* resend_moves() sends the request again. An unanswered request can still be
		 * carried out until the platform has responded to a request with a higher fencing
		 * token. */
		machine->request_in_flight = false;
	}
}

uint64_t leader_next_fence(batch_leader_t *leader)
{
	/* The token increases with each request, so that the platform refuses a delayed request
	 * after a later one. Tokens of a later term are always higher. */
	return (leader->term << 24) | (++leader->platform_request_seq & 0xffffff);
}

static void send_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool)
{
	const platform_request_t request = {
		.machine = machine->name,
		.pool = pool,
		.holder = leader->config.name,
		.fence = leader_next_fence(leader),
	};

	machine->request_in_flight = true;
	leader->port.order(leader->port.arg, &request, on_move_reply,
			   machine_call_new(leader, machine->name, pool, 0));
}

static bool machine_is_empty(batch_leader_t *leader, const leader_machine_t *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	return vm == NULL || leader_vm_is_empty(vm);
}

/* Sends a committed move request, unless the machine's VM has changed since it was proposed: a VM
 * of the destination pool shows that an earlier request was carried out, and another one has
 * possibly got tasks. resend_moves() decides about these again. */
static void send_committed_move(const machine_call_t *move, leader_machine_t *machine)
{
	const leader_vm_t *vm = leader_vm_of_machine(move->leader, machine->name);

	if (machine_call_may_send(move) && machine_is_empty(move->leader, machine) &&
	    (vm == NULL || vm->born_ms == move->born_ms))
		send_move(move->leader, machine, move->pool);
	else
		machine->request_in_flight = false;
}

static void on_move_committed(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *move = arg;
	leader_machine_t *machine = machine_call_get(move);

	if (machine == NULL)
		return;
	if (code == LP__RESULT_CODE__RESULT_OK) {
		send_committed_move(move, machine);
		return;
	}
	machine->request_in_flight = false;
	uncordon(move->leader, machine);
}

/* Commits the intent to send a move request, and then sends it. A repeated request is committed
 * again, so that the next leader knows when the holder's lease of this one ends. */
static void propose_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool)
{
	machine->request_in_flight = true;
	machine->requested_by_this_leader = true;
	machine_call_propose(machine_call_new(leader, machine->name, pool, 0),
			     LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT, on_move_committed);
}

/* Repeats the requests of moves that are committed without a result, including moves of earlier
 * leaders. */
static void resend_moves(batch_leader_t *leader, uint64_t now_us)
{
	batch_move_t *move;

	LIST_FOREACH (move, &leader->state->moves, link) {
		leader_machine_t *machine = leader_machine_add(leader, move->machine);
		leader_vm_t *vm = leader_vm_of_machine(leader, move->machine);

		if (machine->request_in_flight || now_us < machine->retry_us)
			continue;
		if (vm != NULL && !vm->cordoned && strcmp(vm->service, move->pool) != 0) {
			vm->cordoned = true;
			vm->cordoned_since_us = now_us;
		}
		if (vm != NULL && strcmp(vm->service, move->pool) == 0) {
			/* The move was carried out: the machine's VM belongs to the destination
			 * pool. */
			vm->cordoned = false;
			machine->request_in_flight = true;
			propose_move_result(leader, machine, move->pool,
					    LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
		} else if (machine_is_empty(leader, machine)) {
			propose_move(leader, machine, move->pool);
		}
	}
}

static void begin_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	machine->busy_replies = 0;
	if (vm != NULL) {
		vm->cordoned = true;
		vm->cordoned_since_us = leader_now_us(leader);
	}
	propose_move(leader, machine, pool);
}

/* --- demand --- */

typedef struct {
	GPtrArray *names;
	GArray *pools; /* of capacity_pool_t */
} pools_t;

static capacity_pool_t *find_pool(pools_t *pools, const char *name)
{
	for (guint i = 0; i < pools->names->len; i++) {
		if (strcmp(g_ptr_array_index(pools->names, i), name) == 0)
			return &g_array_index(pools->pools, capacity_pool_t, i);
	}
	return NULL;
}

static void add_long_running(capacity_pool_t *pool, const batch_step_t *step)
{
	const Lp__BatchStep *spec = step->spec;
	unsigned spread =
		spec->max_per_vm > 0 ? (spec->count + spec->max_per_vm - 1) / spec->max_per_vm : 1;

	if (!spec->best_effort)
		pool->need_cores += spec->count * spec->cpu_milli / 1000.0;
	/* One more VM than required, so that a task can be placed again when its VM is lost. */
	pool->required_vms = MAX(pool->required_vms, spread + 1);
}

/* Adds the number of cores that the job could use now if capacity were unlimited. */
static void add_batch_job(capacity_pool_t *pool, batch_job_t *job, uint64_t now_us,
			  uint64_t wall_ms)
{
	double cores = batch_parallel_cores(job, CRITICAL_PATH_MIN_MS);
	org_demand_t demand;

	switch (batch_job_timing(job, 0, now_us, wall_ms)) {
	case JOB_ON_TIME:
		demand = org_account_add_demand(job->account, cores);
		pool->need_cores += demand.within;
		pool->late_cores += LATE_JOB_WEIGHT * demand.excess;
		break;
	case JOB_LATE:
		pool->late_cores += LATE_JOB_WEIGHT * cores;
		break;
	case JOB_VERY_LATE:
		pool->late_cores += VERY_LATE_JOB_WEIGHT * cores;
		break;
	}
}

static void add_job(pools_t *pools, batch_job_t *job, bool long_running, uint64_t now_us,
		    uint64_t wall_ms)
{
	capacity_pool_t *pool = find_pool(pools, job->service);

	if (pool == NULL || batch_job_ended(job) ||
	    job->spec->steps[0]->long_running != long_running ||
	    (job->spec->times > 0 && job->spec->first_due_ms > wall_ms + 2000))
		return;
	for (uint32_t i = 0; long_running && i < job->step_count; i++)
		add_long_running(pool, &job->steps[i]);
	if (!long_running)
		add_batch_job(pool, job, now_us, wall_ms);
}

void leader_observe_demand(batch_leader_t *leader, uint64_t now_us)
{
	uint64_t wall_ms = leader->wall_ms(leader->arg);
	uint64_t latest_seq = leader->forecast_seq;
	batch_job_t *job;
	double work;

	TAILQ_FOREACH_REVERSE (job, &leader->state->active, batch_job_list, link) {
		if (job->seq <= leader->forecast_seq)
			break;
		latest_seq = MAX(latest_seq, job->seq);
		if (job->spec->steps[0]->long_running || job->spec->times > 0 ||
		    batch_job_age_ms(job, now_us, wall_ms) > ARRIVAL_AGE_MAX_MS)
			continue;
		/* The declared work is in thousandths of a core times ms. */
		work = job->work / 1e6;
		if (job->account != NULL) {
			job->account->arrived_core_s += work;
			work *= job->account->within_share;
		}
		forecast_add(&leader->forecast, job->service, work);
	}
	leader->forecast_seq = latest_seq;
	forecast_advance(&leader->forecast, now_us);
}

static void extrapolate_need(batch_leader_t *leader, const char *name, capacity_pool_t *pool)
{
	double *smoothed = g_hash_table_lookup(leader->smoothed_need, name);
	double need = pool->need_cores;
	double slope;

	if (smoothed == NULL) {
		smoothed = g_new0(double, 1);
		*smoothed = need;
		g_hash_table_insert(leader->smoothed_need, g_strdup(name), smoothed);
	}
	slope = (need - *smoothed) * US_PER_S / CAPACITY_PERIOD_US;
	/* Exponential smoothing with a time constant of about three periods. */
	*smoothed += (need - *smoothed) / 3;
	if (slope > 0)
		pool->need_cores = MIN(need + slope * FORECAST_WINDOW_S / 3, need * FORECAST_MAX);
}

static bool has_queue(const Lp__BatchConfig *config, const char *service)
{
	for (size_t i = 0; i < config->n_queues; i++) {
		if (strcmp(config->queues[i]->service, service) == 0)
			return true;
	}
	return false;
}

static double mean_machine_cores(const batch_leader_t *leader)
{
	GHashTableIter iter;
	void *value;
	double sum = 0;

	g_hash_table_iter_init(&iter, leader->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += ((const leader_machine_t *)value)->cores;
	return MAX(1.0, sum / MAX(1U, g_hash_table_size(leader->machines)));
}

/* @return time needed to move the machines of a pool's surge to it */
static uint64_t reserve_lead_us(const batch_leader_t *leader)
{
	double machines = SURGE_MACHINES_SHARE * g_hash_table_size(leader->machines);
	double move_s = machines / MAX(1U, leader->config.platform_requests_per_s);

	return leader->config.move_ms * US_PER_MS + (uint64_t)(move_s * US_PER_S) + RESERVE_LEAD_US;
}

/* @return reserve of a pool, in VMs: what its last surge took when a surge is due or goes on, an
 * equal share when nothing is known
 * @param share an equal share of the machines that are kept as reserves
 * @param due set to whether the reserve is for a surge of known size */
static unsigned reserve_for(const forecast_outlook_t *outlook, double lasting_cores,
			    double cores_per_vm, unsigned share, bool *due)
{
	unsigned surge_vms = capacity_vms_for(lasting_cores + outlook->surge_cores, cores_per_vm);

	*due = false;
	switch (outlook->state) {
	case FORECAST_POSSIBLE:
		return share;
	case FORECAST_UNLIKELY:
		return 0;
	case FORECAST_DUE:
		break;
	case FORECAST_SURGING:
		if (outlook->ending)
			return 0;
		if (outlook->surge_cores == 0)
			return share;
		break;
	}
	*due = true;
	return surge_vms;
}

/* Sets the reserve of each pool with a queue. */
static void set_reserves(const batch_leader_t *leader, const pools_t *pools, uint64_t now_us)
{
	const Lp__BatchConfig *config = leader->state->config;
	size_t machine_count = g_hash_table_size(leader->machines);
	uint64_t lead_us = reserve_lead_us(leader);
	double cores = mean_machine_cores(leader);
	size_t used_pools = 0;
	unsigned share;

	for (size_t i = 0; i < config->n_services; i++)
		used_pools += has_queue(config, config->services[i]->name);
	share = capacity_reserve_per_pool(machine_count, used_pools);
	for (size_t i = 0; i < config->n_services; i++) {
		capacity_pool_t *pool = &g_array_index(pools->pools, capacity_pool_t, i);
		forecast_outlook_t outlook;

		if (pool->standby || !has_queue(config, config->services[i]->name))
			continue;
		outlook = forecast_outlook(&leader->forecast, config->services[i]->name, now_us,
					   lead_us);
		pool->reserve_vms =
			reserve_for(&outlook, pool->need_cores, cores, share, &pool->reserve_due);
	}
}

/* @return cores of the machines that are not kept for a surge which is due */
static double unreserved_cores(const batch_leader_t *leader, const pools_t *pools)
{
	size_t machines = g_hash_table_size(leader->machines);
	size_t reserved = 0;

	for (guint i = 0; i < pools->pools->len; i++) {
		const capacity_pool_t *pool = &g_array_index(pools->pools, capacity_pool_t, i);

		reserved += pool->reserve_due ? pool->reserve_vms : 0;
	}
	return mean_machine_cores(leader) * (double)(machines - MIN(reserved, machines));
}

static void collect_pools(batch_leader_t *leader, pools_t *pools, uint64_t now_us, uint64_t wall_ms)
{
	const Lp__BatchConfig *config = leader->state->config;
	double *lasting_cores = talloc_zero_array(NULL, double, config->n_services + 1);
	batch_job_t *job;

	for (size_t i = 0; i < config->n_services; i++) {
		capacity_pool_t pool = {.standby = config->services[i]->standby, .required_vms = 2};

		g_ptr_array_add(pools->names, config->services[i]->name);
		g_array_append_val(pools->pools, pool);
	}
	TAILQ_FOREACH (job, &leader->state->active, link)
		add_job(pools, job, true, now_us, wall_ms);
	set_reserves(leader, pools, now_us);
	org_accounts_begin_demand(&leader->state->organisations, unreserved_cores(leader, pools));
	for (guint i = 0; i < pools->names->len; i++)
		lasting_cores[i] = g_array_index(pools->pools, capacity_pool_t, i).need_cores;
	TAILQ_FOREACH (job, &leader->state->active, link)
		add_job(pools, job, false, now_us, wall_ms);
	org_accounts_end_demand(&leader->state->organisations, CAPACITY_PERIOD_US);
	for (guint i = 0; i < pools->names->len; i++) {
		capacity_pool_t *pool = &g_array_index(pools->pools, capacity_pool_t, i);
		forecast_outlook_t outlook = forecast_outlook(
			&leader->forecast, g_ptr_array_index(pools->names, i), now_us, 0);

		extrapolate_need(leader, g_ptr_array_index(pools->names, i), pool);
		/* At the beginning of a surge, the jobs that wait show only a part of the demand
		 * that their arrival rate brings. */
		if (outlook.state == FORECAST_SURGING)
			pool->need_cores =
				MAX(pool->need_cores, lasting_cores[i] + outlook.arriving_cores);
	}
	talloc_free(lasting_cores);
}

bool leader_machine_leased_elsewhere(const batch_leader_t *leader, const char *machine,
				     uint64_t now_us)
{
	const batch_request_t *request = g_hash_table_lookup(leader->state->last_requests, machine);
	const leader_machine_t *known_machine = leader_find_machine(leader, machine);

	if (request == NULL || (known_machine != NULL && known_machine->requested_by_this_leader))
		return false;
	return batch_request_age_us(leader->state, request, now_us) <
	       leader->config.holder_lease_ms * US_PER_MS + REQUEST_SEND_DELAY_MAX_US;
}

bool leader_move_pending(const batch_leader_t *leader, const char *machine)
{
	const batch_move_t *move;

	LIST_FOREACH (move, &leader->state->moves, link) {
		if (strcmp(move->machine, machine) == 0)
			return true;
	}
	return false;
}

static bool is_immovable(batch_leader_t *leader, const leader_machine_t *machine,
			 const leader_vm_t *vm, uint64_t now_us)
{
	if (machine->request_in_flight || !machine->up || now_us < machine->arrival_deadline_us ||
	    now_us < machine->retry_us)
		return true;
	if (vm != NULL &&
	    (vm->cordoned || vm->draining || vm->unresponsive || leader_vm_is_in_doubt(vm)))
		return true;
	return leader_in_maintenance(leader, machine->name) ||
	       leader_move_pending(leader, machine->name) ||
	       leader_machine_leased_elsewhere(leader, machine->name, now_us);
}

static bool is_capacity(const leader_machine_t *machine, const leader_vm_t *vm, bool standby,
			uint64_t now_us)
{
	if (standby)
		return machine->up;
	if (vm != NULL)
		return leader_vm_is_responsive(vm, now_us) && !vm->draining && !vm->cordoned;
	return now_us < machine->arrival_deadline_us;
}

/* @return expected time until the task's run ends, by its run time and the VM's speed */
static uint64_t remaining_run_ms(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	uint64_t run_ms = (uint64_t)(task->step->mean_ms * vm->slowness);
	uint64_t age_ms = (now_us - task->local.phase_since_us) / US_PER_MS;

	return run_ms > age_ms + OVERDUE_TASK_MS ? run_ms - age_ms : OVERDUE_TASK_MS;
}

/* True when a drain stops the task instead of waiting for its end: its job is late, so that it is
 * worth a fraction of what the machine does elsewhere, and less work is lost than is left. A job
 * that has had a turn as a starved job is not stopped again. */
static bool is_preempted(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us,
			 uint64_t wall_ms)
{
	const batch_step_t *step = task->step;
	uint64_t age_ms = (now_us - task->local.phase_since_us) / US_PER_MS;

	if (task->status != BATCH_TASK_ASSIGNED || task->local.phase != RUN_CONFIRMED ||
	    step->job->starved_turn != 0 ||
	    batch_job_timing(step->job, step->occurrence, now_us, wall_ms) == JOB_ON_TIME)
		return false;
	return step->spec->checkpoints || age_ms < remaining_run_ms(vm, task, now_us);
}

/* Estimates how long the VM takes until all its tasks have ended. @return false when it runs tasks
 * that do not end by themselves */
static bool estimate_drain(leader_vm_t *vm, uint64_t now_us, uint64_t wall_ms, uint64_t *drain_ms)
{
	const batch_vm_t *record = leader_vm_record(vm);
	const batch_task_t *task;

	*drain_ms = 0;
	if (record == NULL || vm->orphan_count > 0)
		return false;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		uint64_t end_ms = remaining_run_ms(vm, task, now_us);

		if (task->step->spec->long_running || task->step->spec->best_effort ||
		    task->step->spec->gang)
			return false;
		if (end_ms > STOP_TASK_MS && is_preempted(vm, task, now_us, wall_ms))
			end_ms = STOP_TASK_MS;
		*drain_ms = MAX(*drain_ms, end_ms);
	}
	return true;
}

static size_t pool_index(const pools_t *pools, const capacity_pool_t *pool)
{
	return (size_t)(pool - (const capacity_pool_t *)pools->pools->data);
}

static capacity_machine_t describe_machine(batch_leader_t *leader, pools_t *pools,
					   leader_machine_t *machine, const capacity_pool_t *pool,
					   uint64_t now_us, uint64_t wall_ms)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);
	const capacity_pool_t *destination =
		machine->drain_to != NULL ? find_pool(pools, machine->drain_to) : NULL;
	capacity_machine_t entry = {
		.pool = pool_index(pools, pool),
		.cores = machine->cores,
		.idle = machine->idle_since_us != 0,
		.idle_ms = machine->idle_since_us != 0
				   ? (now_us - machine->idle_since_us) / US_PER_MS
				   : 0,
		.immovable = is_immovable(leader, machine, vm, now_us),
	};

	if (destination != NULL) {
		entry.draining = true;
		entry.draining_to = pool_index(pools, destination);
	}
	if (vm != NULL && !entry.idle && !entry.immovable)
		entry.drainable = estimate_drain(vm, now_us, wall_ms, &entry.drain_ms);
	return entry;
}

static void collect_machines(batch_leader_t *leader, pools_t *pools, GArray *machines,
			     GPtrArray *leader_machines, uint64_t now_us, uint64_t wall_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leader_machine_t *machine = value;
		leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);
		capacity_pool_t *pool = find_pool(pools, machine->pool);
		capacity_machine_t entry;

		if (pool == NULL || !is_capacity(machine, vm, pool->standby, now_us))
			continue;
		if (!machine_is_empty(leader, machine))
			machine->idle_since_us = 0;
		else if (machine->idle_since_us == 0)
			machine->idle_since_us = now_us;
		entry = describe_machine(leader, pools, machine, pool, now_us, wall_ms);
		g_array_append_val(machines, entry);
		g_ptr_array_add(leader_machines, machine);
	}
}

/* --- drains --- */

static void set_drained(batch_leader_t *leader, const leader_machine_t *machine, bool drained)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	if (vm != NULL)
		vm->drained_for_move = drained;
	leader->placement_due |= !drained;
}

static void preempt_late_tasks(batch_leader_t *leader, const leader_machine_t *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);
	const batch_vm_t *record = vm != NULL ? leader_vm_record(vm) : NULL;
	uint64_t now_us = leader_now_us(leader);
	uint64_t wall_ms = leader->wall_ms(leader->arg);
	batch_task_t *task;
	char run[RUN_LABEL_MAX];

	if (record == NULL)
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (remaining_run_ms(vm, task, now_us) <= STOP_TASK_MS ||
		    !is_preempted(vm, task, now_us, wall_ms))
			continue;
		run_label_of_task(run, task);
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm",
				     vm->id, "to", machine->drain_to),
			  "stopping a late task, because another pool needs the machine");
		metrics_add(leader->stats.preemptions, 1);
		task->local.evacuate = true;
	}
}

static void begin_drain(batch_leader_t *leader, leader_machine_t *machine, const char *pool,
			uint64_t drain_ms)
{
	char ms[16];

	g_snprintf(ms, sizeof(ms), "%u", (unsigned)drain_ms);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("machine", machine->name, "from", machine->pool, "to", pool, "ms", ms),
		  "draining a machine for another pool");
	metrics_add(leader->stats.drains, 1);
	g_free(machine->drain_to);
	machine->drain_to = g_strdup(pool);
	set_drained(leader, machine, true);
	preempt_late_tasks(leader, machine);
}

static void end_drain(batch_leader_t *leader, leader_machine_t *machine)
{
	g_clear_pointer(&machine->drain_to, g_free);
	set_drained(leader, machine, false);
}

/* Moves the drained machines whose tasks have ended. */
static void drains_tick(batch_leader_t *leader, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leader_machine_t *machine = value;
		const leader_vm_t *vm;
		g_autofree char *pool = NULL;

		if (machine->drain_to == NULL)
			continue;
		vm = leader_vm_of_machine(leader, machine->name);
		if (vm != NULL && !is_immovable(leader, machine, vm, now_us) &&
		    !machine_is_empty(leader, machine))
			continue;
		pool = g_strdup(machine->drain_to);
		end_drain(leader, machine);
		/* A machine whose VM has ended, or that is due for something else, stays. */
		if (vm != NULL && !is_immovable(leader, machine, vm, now_us))
			begin_move(leader, machine, pool);
	}
}

/* @return most moves per period: three quarters of the platform's rate limit, as the rest is for
 * maintenance and repeated requests. While this process is behind or the start window is full, the
 * leader is the bottleneck: it cannot use more room, idle machines would move to and fro, and each
 * move costs it two commits and an HTTP request. */
static size_t moves_allowed(const batch_leader_t *leader)
{
	uint64_t orders = leader->config.platform_requests_per_s * CAPACITY_PERIOD_US / US_PER_S;

	size_t limit = orders * 3 / 4;

	if (leader->window_full)
		limit /= FULL_WINDOW_MOVES_DIVISOR;
	else if (leader->tick_lag_us > MOVES_LAG_US)
		limit /= BEHIND_MOVES_DIVISOR;
	return MAX(limit, 1);
}

static void carry_out(batch_leader_t *leader, const capacity_move_t *move,
		      const capacity_machine_t *planned, leader_machine_t *machine,
		      const char *pool)
{
	switch (move->action) {
	case CAPACITY_MOVE:
		begin_move(leader, machine, pool);
		break;
	case CAPACITY_DRAIN:
		begin_drain(leader, machine, pool, planned->drain_ms);
		break;
	case CAPACITY_KEEP:
		end_drain(leader, machine);
		break;
	}
}

static void plan_capacity(batch_leader_t *leader, uint64_t now_us)
{
	pools_t pools = {
		.names = g_ptr_array_new(),
		.pools = g_array_new(FALSE, TRUE, sizeof(capacity_pool_t)),
	};
	g_autoptr(GArray) machines = g_array_new(FALSE, TRUE, sizeof(capacity_machine_t));
	g_autoptr(GPtrArray) leader_machines = g_ptr_array_new();
	uint64_t wall_ms = leader->wall_ms(leader->arg);
	size_t limit = moves_allowed(leader);
	g_autofree capacity_move_t *moves = g_new(capacity_move_t, limit);
	size_t count;

	collect_pools(leader, &pools, now_us, wall_ms);
	collect_machines(leader, &pools, machines, leader_machines, now_us, wall_ms);
	count = capacity_plan((const capacity_pool_t *)pools.pools->data, pools.pools->len,
			      (const capacity_machine_t *)machines->data, machines->len, limit,
			      moves);
	for (size_t i = 0; i < count; i++)
		carry_out(leader, &moves[i],
			  &g_array_index(machines, capacity_machine_t, moves[i].machine),
			  g_ptr_array_index(leader_machines, moves[i].machine),
			  g_ptr_array_index(pools.names, moves[i].to));
	g_ptr_array_unref(pools.names);
	g_array_unref(pools.pools);
}

void leader_machines_tick(batch_leader_t *leader, uint64_t now_us)
{
	if (leader->state->config == NULL)
		return;
	machine_list_tick(leader, now_us);
	leader_observe_demand(leader, now_us);
	drains_tick(leader, now_us);
	if (!leader->list_complete || now_us < leader->capacity_due_us)
		return;
	leader->capacity_due_us = now_us + CAPACITY_PERIOD_US;
	/* An earlier leader possibly sent the requests of unfinished moves until this leader was
	 * activated, so wait for the end of its lease. */
	if (now_us >= leader->activated_us + leader->config.holder_lease_ms * US_PER_MS)
		resend_moves(leader, now_us);
	plan_capacity(leader, now_us);
}
