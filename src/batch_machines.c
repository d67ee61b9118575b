#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_capacity.h"
#include "batch_leader_internal.h"
#include "batch_order.h"
#include "log.h"

/* The platform's list is read this often; sooner when a VM that holds tasks falls silent, as it
 * tells whether the machine is down. Each reading is paid for. */
#define LIST_PERIOD_US (8 * US_PER_S)
#define LIST_URGENT_US (1 * US_PER_S)
/* How often the pools' sizes are reconsidered: a surge grows over some seconds, and a move takes
 * 1.5 s. */
#define CAPACITY_PERIOD_US (200 * US_PER_MS)
/* Most moves that are begun in one period. */
#define MOVES_MAX 24
/* An order without an answer, or that met a busy platform, is sent again after this. */
#define MOVE_RETRY_US (400 * US_PER_MS)
/* A machine that is busy (not up, or leaving) so many times is given up. */
#define BUSY_MAX 4
/* A machine that was moved is expected to report within its move's time and this. */
#define ARRIVAL_SLACK_US (4 * US_PER_S)
#define STANDBY_SLACK_US (200 * US_PER_MS)
/* The demand is extrapolated over the time that a move takes. */
#define FORECAST_S 1.5
/* Bound of the extrapolation, as a multiple of the present need. */
#define FORECAST_MAX 2.0
/* Jobs that cannot be in time count with this share of their need: they take what is left over. */
#define LATE_SHARE 0.3
/* An order is given within this after it was applied here. */
#define APPLY_SLACK_US (300 * US_PER_MS)
/* The least time that the remaining chain of a job counts, in ms. */
#define CHAIN_LEAST_MS 300

leader_machine_t *leader_machine(const batch_leader_t *leader, const char *name)
{
	return g_hash_table_lookup(leader->machines, name);
}

leader_machine_t *leader_machine_add(batch_leader_t *leader, const char *name)
{
	leader_machine_t *machine = leader_machine(leader, name);

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
	machine->coming_until_us = 0;
}

/* --- the platform's list --- */

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
} list_arg_t;

/* The machine runs another VM, or none: the one that is silent has ended. */
static void check_silent(batch_leader_t *leader, const machine_info_t *info)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, info->machine);

	if (vm == NULL || !vm->suspect)
		return;
	if (info->down)
		leader_vm_mark_dead(vm, "the platform says that its machine is down");
	else if (info->up && info->vm[0] != '\0' && strcmp(info->vm, vm->id) != 0)
		leader_vm_mark_dead(vm, "the platform says that its machine runs another VM");
}

static void take_info(batch_leader_t *leader, const machine_info_t *info)
{
	leader_machine_t *machine = leader_machine_add(leader, info->machine);
	uint64_t now_us = leader_now_us(leader);

	check_silent(leader, info);
	/* The list may be older than a move that was just carried out. */
	if (machine->busy || now_us < machine->coming_until_us)
		return;
	if (leader_vm_of_machine(leader, info->machine) == NULL) {
		set_pool(machine, info->pool);
		machine->up = info->up;
		machine->cores = info->cpu_milli / 1000.0;
	}
}

static void read_page(batch_leader_t *leader, const char *page);

static void on_list(void *arg, const machine_list_t *list)
{
	g_autofree list_arg_t *context = arg;
	batch_leader_t *leader = context->leader;

	if (!leader->active || context->generation != leader->generation)
		return;
	leader->list_busy = false;
	for (size_t i = 0; i < list->machine_count; i++)
		take_info(leader, &list->machines[i]);
	if (list->answered && list->next_page != NULL)
		read_page(leader, list->next_page);
	else if (list->answered)
		leader->list_known = true;
}

static void read_page(batch_leader_t *leader, const char *page)
{
	list_arg_t *context = g_new0(list_arg_t, 1);

	*context = (list_arg_t){.leader = leader, .generation = leader->generation};
	leader->list_busy = true;
	leader->port.machines(leader->port.arg, page, on_list, context);
}

static bool has_silent_vm(const batch_leader_t *leader, uint64_t now_us)
{
	leader_vm_t *vm;

	LIST_FOREACH (vm, &leader->vms, link) {
		const batch_vm_t *life = leader_vm_life(vm);

		if (!vm->dead && vm->suspect && now_us > vm->suspect_us + LIST_URGENT_US / 2 &&
		    life != NULL && life->task_count > 0)
			return true;
	}
	return false;
}

static void list_tick(batch_leader_t *leader, uint64_t now_us)
{
	uint64_t period_us = has_silent_vm(leader, now_us) || !leader->list_known ? LIST_URGENT_US
										  : LIST_PERIOD_US;

	if (leader->list_busy || now_us < leader->list_read_us + period_us)
		return;
	leader->list_read_us = now_us;
	read_page(leader, NULL);
}

/* --- moves --- */

machine_call_t *machine_call_new(batch_leader_t *leader, const char *machine, const char *pool,
				 uint64_t wave)
{
	machine_call_t *call = g_new0(machine_call_t, 1);
	const leader_vm_t *vm = leader_vm_of_machine(leader, machine);

	call->leader = leader;
	call->generation = leader->generation;
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
	return leader_machine(call->leader, call->machine);
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
	call->leader->propose(call->leader->arg, &command, done, call);
}

static void on_move_closed(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *move = arg;
	leader_machine_t *machine = machine_call_get(move);

	if (machine != NULL)
		machine->busy = false;
}

static void close_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool,
		       Lp__BatchOrderState state)
{
	machine_call_propose(machine_call_new(leader, machine->name, pool, 0), state,
			     on_move_closed);
}

static void uncordon(batch_leader_t *leader, const leader_machine_t *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	if (vm != NULL)
		vm->cordoned = false;
	leader->place_due = true;
}

static bool is_standby(const batch_leader_t *leader, const char *pool)
{
	const Lp__BatchService *service = batch_state_service(leader->state, pool);

	return service != NULL && service->standby;
}

/* @param born_ms of the VM that the order has ended. The one that followed it may have reported
 * before the answer came. */
static void moved(batch_leader_t *leader, leader_machine_t *machine, const char *pool,
		  uint64_t born_ms)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	if (vm != NULL && vm->born_ms > born_ms) {
		close_move(leader, machine, pool, LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
		return;
	}
	if (vm != NULL)
		leader_vm_mark_dead(vm, "its machine was moved to another pool");
	set_pool(machine, pool);
	/* A machine that is switched off does not report; it may be used again once the move is
	 * over. */
	machine->up = is_standby(leader, pool);
	machine->coming_until_us = leader_now_us(leader) + leader->config.move_ms * US_PER_MS +
				   (machine->up ? STANDBY_SLACK_US : ARRIVAL_SLACK_US);
	close_move(leader, machine, pool, LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
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
		  "move was ordered");
	machine->retry_us = leader_now_us(leader) + MOVE_RETRY_US;
	if (reply->code == VM_REPLY_OK) {
		moved(leader, machine, move->pool, move->born_ms);
	} else if (reply->code == VM_REPLY_INVALID || reply->code == VM_REPLY_FENCED ||
		   (reply->code == VM_REPLY_BUSY && ++machine->refusals >= BUSY_MAX)) {
		uncordon(leader, machine);
		close_move(leader, machine, move->pool, LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE);
	} else {
		/* Sent again by the next tick: the order may yet be carried out, and only an
		 * answer to a later one, with a higher token, settles that. */
		machine->busy = false;
	}
}

uint64_t leader_next_fence(batch_leader_t *leader)
{
	/* Rises with each order: one that is carried out late is refused after a later one. A later
	 * term is higher than any order of this one. */
	return (leader->term << 24) | (++leader->order_seq & 0xffffff);
}

static void send_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool)
{
	const machine_order_t order = {
		.machine = machine->name,
		.pool = pool,
		.holder = leader->config.name,
		.fence = leader_next_fence(leader),
	};

	machine->busy = true;
	leader->port.order(leader->port.arg, &order, on_move_reply,
			   machine_call_new(leader, machine->name, pool, 0));
}

static void on_move_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *move = arg;
	leader_machine_t *machine = machine_call_get(move);

	if (machine == NULL)
		return;
	if (code == LP__RESULT_CODE__RESULT_OK) {
		send_move(move->leader, machine, move->pool);
		return;
	}
	machine->busy = false;
	uncordon(move->leader, machine);
}

static bool machine_is_empty(batch_leader_t *leader, const leader_machine_t *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	return vm == NULL || leader_vm_is_empty(vm);
}

/* Moves that were recorded and have no outcome yet, also those of an earlier leader. */
static void resend_moves(batch_leader_t *leader, uint64_t now_us)
{
	batch_move_t *move;

	LIST_FOREACH (move, &leader->state->moves, link) {
		leader_machine_t *machine = leader_machine_add(leader, move->machine);
		leader_vm_t *vm = leader_vm_of_machine(leader, move->machine);

		if (machine->busy || now_us < machine->retry_us)
			continue;
		if (vm != NULL && !vm->cordoned && strcmp(vm->service, move->pool) != 0) {
			vm->cordoned = true;
			vm->cordoned_us = now_us;
		}
		if (vm != NULL && strcmp(vm->service, move->pool) == 0) {
			/* It was carried out, and the machine serves in its new pool. */
			vm->cordoned = false;
			machine->busy = true;
			close_move(leader, machine, move->pool,
				   LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
		} else if (machine_is_empty(leader, machine)) {
			send_move(leader, machine, move->pool);
		}
	}
}

static void begin_move(batch_leader_t *leader, leader_machine_t *machine, const char *pool)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);

	machine->busy = true;
	machine->ordered_here = true;
	machine->refusals = 0;
	if (vm != NULL) {
		vm->cordoned = true;
		vm->cordoned_us = leader_now_us(leader);
	}
	machine_call_propose(machine_call_new(leader, machine->name, pool, 0),
			     LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT, on_move_recorded);
}

/* --- need --- */

typedef struct {
	GPtrArray *names;
	GArray *pools; /* capacity_pool_t */
} pools_t;

static capacity_pool_t *pool_named(pools_t *pools, const char *name)
{
	for (guint i = 0; i < pools->names->len; i++) {
		if (strcmp(g_ptr_array_index(pools->names, i), name) == 0)
			return &g_array_index(pools->pools, capacity_pool_t, i);
	}
	return NULL;
}

static void add_lasting(capacity_pool_t *pool, const batch_step_t *step)
{
	const Lp__BatchStep *spec = step->spec;
	unsigned spread =
		spec->max_per_vm > 0 ? (spec->count + spec->max_per_vm - 1) / spec->max_per_vm : 1;

	if (!spec->best_effort)
		pool->need_cores += spec->count * spec->cpu_milli / 1000.0;
	/* One more, so that a lost VM does not leave a task without a place. */
	pool->required_vms = MAX(pool->required_vms, spread + 1);
}

/* Cores that the job would use if there were room for everything. */
static double job_need(batch_job_t *job, uint64_t now_us, uint64_t wall_ms)
{
	const Lp__BatchQueue *queue = job->queue;
	double chain_ms = (double)MAX(batch_chain_ms(job, 0, true), CHAIN_LEAST_MS);
	uint64_t age_ms = batch_job_age_ms(job, now_us, wall_ms);
	double need = batch_work_left(job) / 1000.0 / chain_ms;

	if (queue != NULL && (double)age_ms + chain_ms > (double)batch_objective_ms(job, queue))
		need *= LATE_SHARE;
	return need;
}

static void add_job(batch_leader_t *leader, pools_t *pools, batch_job_t *job, uint64_t wall_ms)
{
	capacity_pool_t *pool = pool_named(pools, job->service);
	bool lasting = job->spec->steps[0]->long_running;

	if (pool == NULL || batch_job_ended(job) ||
	    (job->spec->times > 0 && job->spec->first_due_ms > wall_ms + 2000))
		return;
	for (uint32_t i = 0; lasting && i < job->step_count; i++)
		add_lasting(pool, &job->steps[i]);
	if (!lasting)
		pool->need_cores += job_need(job, leader_now_us(leader), wall_ms);
}

static void forecast(batch_leader_t *leader, const char *name, capacity_pool_t *pool)
{
	double *before = g_hash_table_lookup(leader->need_before, name);
	double need = pool->need_cores;
	double slope;

	if (before == NULL) {
		before = g_new0(double, 1);
		*before = need;
		g_hash_table_insert(leader->need_before, g_strdup(name), before);
	}
	slope = (need - *before) * US_PER_S / CAPACITY_PERIOD_US;
	/* Smoothed over about three periods. */
	*before += (need - *before) / 3;
	if (slope > 0)
		pool->need_cores = MIN(need + slope * FORECAST_S / 3, need * FORECAST_MAX);
}

static bool has_queue(const Lp__BatchConfig *config, const char *service)
{
	for (size_t i = 0; i < config->n_queues; i++) {
		if (strcmp(config->queues[i]->service, service) == 0)
			return true;
	}
	return false;
}

static void set_reserves(const batch_leader_t *leader, const pools_t *pools)
{
	const Lp__BatchConfig *config = leader->state->config;
	size_t used_pools = 0;
	unsigned reserve;

	for (size_t i = 0; i < config->n_services; i++)
		used_pools += has_queue(config, config->services[i]->name);
	reserve = capacity_reserve(g_hash_table_size(leader->machines), used_pools);
	for (size_t i = 0; i < config->n_services; i++) {
		capacity_pool_t *pool = &g_array_index(pools->pools, capacity_pool_t, i);

		if (!pool->standby && has_queue(config, config->services[i]->name))
			pool->reserve_vms = reserve;
	}
}

static void collect_pools(batch_leader_t *leader, pools_t *pools)
{
	const Lp__BatchConfig *config = leader->state->config;
	uint64_t wall_ms = leader->clock_wall_ms(leader->arg);
	batch_job_t *job;

	for (size_t i = 0; i < config->n_services; i++) {
		capacity_pool_t pool = {.standby = config->services[i]->standby, .required_vms = 2};

		g_ptr_array_add(pools->names, config->services[i]->name);
		g_array_append_val(pools->pools, pool);
	}
	TAILQ_FOREACH (job, &leader->state->active, link)
		add_job(leader, pools, job, wall_ms);
	set_reserves(leader, pools);
	for (guint i = 0; i < pools->names->len; i++)
		forecast(leader, g_ptr_array_index(pools->names, i),
			 &g_array_index(pools->pools, capacity_pool_t, i));
}

bool leader_held_by_other(const batch_leader_t *leader, const char *machine, uint64_t now_us)
{
	const uint64_t *ordered_us = g_hash_table_lookup(leader->state->ordered, machine);
	const leader_machine_t *known = leader_machine(leader, machine);

	if (ordered_us == NULL || (known != NULL && known->ordered_here))
		return false;
	return now_us < *ordered_us + leader->config.holder_lease_ms * US_PER_MS + APPLY_SLACK_US;
}

bool leader_move_open(const batch_leader_t *leader, const char *machine)
{
	const batch_move_t *move;

	LIST_FOREACH (move, &leader->state->moves, link) {
		if (strcmp(move->machine, machine) == 0)
			return true;
	}
	return false;
}

static bool is_fixed(batch_leader_t *leader, const leader_machine_t *machine, const leader_vm_t *vm,
		     uint64_t now_us)
{
	if (machine->busy || !machine->up || now_us < machine->coming_until_us ||
	    now_us < machine->retry_us)
		return true;
	if (vm != NULL && (vm->cordoned || vm->draining || vm->suspect || vm->left_us != 0))
		return true;
	return leader_in_maintenance(leader, machine->name) ||
	       leader_move_open(leader, machine->name) ||
	       leader_held_by_other(leader, machine->name, now_us);
}

static bool counts(const leader_machine_t *machine, const leader_vm_t *vm, bool standby,
		   uint64_t now_us)
{
	if (standby)
		return machine->up;
	if (vm != NULL)
		return leader_vm_answers(vm, now_us) && !vm->draining && !vm->cordoned;
	return now_us < machine->coming_until_us;
}

static void collect_machines(batch_leader_t *leader, pools_t *pools, GArray *machines,
			     GPtrArray *sources, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, leader->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leader_machine_t *machine = value;
		leader_vm_t *vm = leader_vm_of_machine(leader, machine->name);
		capacity_pool_t *pool = pool_named(pools, machine->pool);
		capacity_machine_t entry;

		if (pool == NULL || !counts(machine, vm, pool->standby, now_us))
			continue;
		if (!machine_is_empty(leader, machine))
			machine->idle_us = 0;
		else if (machine->idle_us == 0)
			machine->idle_us = now_us;
		entry = (capacity_machine_t){
			.pool = (size_t)(pool - (capacity_pool_t *)pools->pools->data),
			.cores = machine->cores,
			.idle = machine->idle_us != 0,
			.idle_ms =
				machine->idle_us != 0 ? (now_us - machine->idle_us) / US_PER_MS : 0,
			.fixed = is_fixed(leader, machine, vm, now_us),
		};
		g_array_append_val(machines, entry);
		g_ptr_array_add(sources, machine);
	}
}

/* Three quarters of the orders that the platform takes in a period; the rest is for maintenance and
 * for repetitions. */
static size_t moves_allowed(const batch_leader_t *leader)
{
	uint64_t orders = leader->config.orders_per_s * CAPACITY_PERIOD_US / US_PER_S;

	return CLAMP(orders * 3 / 4, 1, MOVES_MAX);
}

static void plan_capacity(batch_leader_t *leader, uint64_t now_us)
{
	pools_t pools = {
		.names = g_ptr_array_new(),
		.pools = g_array_new(FALSE, TRUE, sizeof(capacity_pool_t)),
	};
	g_autoptr(GArray) machines = g_array_new(FALSE, TRUE, sizeof(capacity_machine_t));
	g_autoptr(GPtrArray) sources = g_ptr_array_new();
	capacity_move_t moves[MOVES_MAX];
	size_t count;

	collect_pools(leader, &pools);
	collect_machines(leader, &pools, machines, sources, now_us);
	count = capacity_plan((const capacity_pool_t *)pools.pools->data, pools.pools->len,
			      (const capacity_machine_t *)machines->data, machines->len,
			      moves_allowed(leader), moves);
	for (size_t i = 0; i < count; i++)
		begin_move(leader, g_ptr_array_index(sources, moves[i].machine),
			   g_ptr_array_index(pools.names, moves[i].to));
	g_ptr_array_unref(pools.names);
	g_array_unref(pools.pools);
}

void leader_machines_tick(batch_leader_t *leader, uint64_t now_us)
{
	if (leader->state->config == NULL)
		return;
	list_tick(leader, now_us);
	if (!leader->list_known || now_us < leader->capacity_due_us)
		return;
	leader->capacity_due_us = now_us + CAPACITY_PERIOD_US;
	/* An earlier leader may have repeated orders that have no outcome until its lease of the
	 * machines ended. */
	if (now_us >= leader->active_us + leader->config.holder_lease_ms * US_PER_MS)
		resend_moves(leader, now_us);
	plan_capacity(leader, now_us);
}
