#include "route_pool.h"

#include <string.h>

#include "clock.h"
#include "route_internal.h"

/*
 * Time after the end of a target's ejection during which only a repeatable request can be the probe
 * request, because a failed probe leaves the request's outcome unknown. Afterwards any request can,
 * so that pools without repeatable requests get their targets back, too.
 */
#define PROBE_DELAY_US (1 * US_PER_S)
#define TIMEOUT_FACTOR_MAX 1000.0

bool route_target_usable(const route_table_t *table, const route_target_entry_t *target,
			 uint64_t now_us)
{
	if (target->removed || !target->routable || target->leaving || target->echoed_cordoned)
		return false;
	if (target->echoed_epoch != 0 && target->echoed_epoch != target->epoch)
		return false;
	return target->announced_us != 0 &&
	       now_us <= target->announced_us + table->config.routing_lease_us;
}

/* --- classes --- */

static route_class_t *find_class(const route_pool_t *pool, const char *path)
{
	route_class_t *longest_match = NULL;

	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *class = pool->classes->pdata[i];

		if (!class->retired && g_str_has_prefix(path, class->prefix) &&
		    (longest_match == NULL ||
		     strlen(class->prefix) > strlen(longest_match->prefix)))
			longest_match = class;
	}
	return longest_match;
}

route_lookup_result_t route_find_class(route_table_t *table, route_ticket_t *ticket,
				       const char *organisation, const char *service,
				       const char *path)
{
	route_pool_t *pool = route_pool_find(table, organisation, service);
	route_lookup_result_t result = ROUTE_UNKNOWN_POOL;
	route_class_t *class;

	if (pool == NULL)
		return ROUTE_UNKNOWN_POOL;
	pthread_mutex_lock(&pool->shard->lock);
	if (pool->in_template) {
		class = find_class(pool, path);
		result = class != NULL ? ROUTE_CLASS_FOUND : ROUTE_UNKNOWN_CLASS;
		ticket->pool = pool;
		ticket->class = class;
	}
	if (result == ROUTE_CLASS_FOUND) {
		g_strlcpy(ticket->class_name, class->name, sizeof(ticket->class_name));
		ticket->deadline_ms = class->deadline_ms;
		ticket->repeatable = class->repeatable;
	}
	pthread_mutex_unlock(&pool->shard->lock);
	return result;
}

/* --- choice of a target --- */

/*
 * Fills pool->candidates with the usable targets. The caller must hold the shard's lock.
 * @param ticket its earlier targets are marked as already tried; NULL: none
 * @return the number of candidates
 */
static size_t collect_candidates(const route_table_t *table, route_pool_t *pool,
				 const route_ticket_t *ticket, uint64_t now_us)
{
	size_t count = 0;

	if (pool->candidate_capacity < pool->targets->len) {
		pool->candidate_capacity = pool->targets->len + 8;
		pool->candidates =
			g_renew(router_candidate_t, pool->candidates, pool->candidate_capacity);
	}
	for (guint i = 0; i < pool->targets->len; i++) {
		route_target_entry_t *target = pool->targets->pdata[i];
		router_candidate_t *candidate = &pool->candidates[count];

		if (!route_target_usable(table, target, now_us))
			continue;
		*candidate = (router_candidate_t){
			.target = &target->router,
			.free = slots_free(&target->slots, now_us) > 0,
		};
		for (unsigned t = 0; ticket != NULL && t < ROUTE_TRIED_MAX; t++)
			candidate->already_tried |= ticket->tried_targets[t] == target;
		count++;
	}
	return count;
}

/* Returns a service time that few responses exceed; 0 before the first response. */
static double usual_service_time_us(const route_class_t *class)
{
	return class->admission.service_us + 4 * class->admission.deviation_us;
}

/*
 * Adjusts the attempt timeout of a class. Each attempt that times out doubles the timeout: the
 * service time is measured from responses only, so when it grows beyond the timeout, no responses
 * arrive any more from which a longer service time could be measured.
 */
static void adjust_timeout_factor(route_class_t *class, bool timed_out)
{
	if (timed_out)
		class->timeout_factor = MIN(class->timeout_factor * 2, TIMEOUT_FACTOR_MAX);
	else
		class->timeout_factor = MAX(class->timeout_factor * 0.95, ROUTE_TIMEOUT_FACTOR_MIN);
}

static void grant_slot(route_ticket_t *ticket, route_target_entry_t *target, uint64_t now_us)
{
	ticket->is_probe = router_start(&target->router, now_us);
	slots_take(&target->slots, now_us);
	ticket->target = target;
	ticket->epoch = target->epoch;
	g_strlcpy(ticket->address, target->address, sizeof(ticket->address));
	ticket->attempt_timeout_us =
		(uint64_t)(ticket->class->timeout_factor * usual_service_time_us(ticket->class));
	ticket->timed_out = false;
	ticket->tried_targets[ticket->attempts++ % ROUTE_TRIED_MAX] = target;
	ticket->state = ROUTE_GRANTED;
}

/* Grants or refuses a queued ticket: sets its state, and calls its notify function unless the
 * ticket is caller_ticket. */
static void settle_ticket(route_pool_t *pool, route_ticket_t *ticket, route_state_t state,
			  const route_ticket_t *caller_ticket)
{
	if (state != ROUTE_GRANTED)
		pool->refused++;
	ticket->state = state;
	if (ticket != caller_ticket)
		ticket->notify(ticket);
}

/* Returns the number of free slots of the candidates that are not ejected.
 * @param slot_total set to the number of all slots of these candidates */
static uint32_t count_free_slots(const route_pool_t *pool, size_t candidates, uint32_t *slot_total,
				 uint64_t now_us)
{
	uint32_t free_slots = 0;

	*slot_total = 0;
	for (size_t i = 0; i < candidates; i++) {
		route_target_entry_t *target = (route_target_entry_t *)pool->candidates[i].target;

		if (target->router.ejected)
			continue;
		free_slots += slots_free(&target->slots, now_us);
		*slot_total += target->slots.share;
	}
	return free_slots;
}

/* Grants the ticket a slot. @return false when no suitable target has a free slot */
static bool try_grant(route_table_t *table, route_pool_t *pool, route_ticket_t *ticket,
		      uint64_t now_us)
{
	size_t count = collect_candidates(table, pool, ticket, now_us);
	uint64_t remaining_us =
		ticket->entry.deadline_us > now_us ? ticket->entry.deadline_us - now_us : 0;
	int chosen = router_choose(pool->candidates, count, remaining_us,
				   ticket->repeatable ? 0 : PROBE_DELAY_US, now_us, pool->random);

	if (chosen < 0)
		return false;
	grant_slot(ticket, (route_target_entry_t *)pool->candidates[chosen].target, now_us);
	return true;
}

void route_dispatch(route_table_t *table, route_pool_t *pool, const route_ticket_t *caller_ticket,
		    uint64_t now_us)
{
	admission_entry_t *entry;
	bool late;

	while ((entry = admission_next(&pool->admission, now_us, &late)) != NULL) {
		route_ticket_t *ticket = (route_ticket_t *)entry;

		if (late) {
			settle_ticket(pool, ticket, ROUTE_TOO_LATE, caller_ticket);
			continue;
		}
		if (!try_grant(table, pool, ticket, now_us)) {
			admission_undo_next(&pool->admission, &ticket->class->admission, entry);
			break;
		}
		settle_ticket(pool, ticket, ROUTE_GRANTED, caller_ticket);
	}
}

void route_refuse_queued(route_pool_t *pool, route_class_t *class)
{
	admission_entry_t *entry;

	while ((entry = admission_take_oldest(&pool->admission, &class->admission)) != NULL)
		settle_ticket(pool, (route_ticket_t *)entry, ROUTE_REMOVED, NULL);
}

/* --- admission --- */

/* Counts the request as open, and checks the organisation's share and the team's quota.
 * @return ROUTE_QUEUED when both allow the request, otherwise the reason for the refusal */
static route_state_t check_share_and_quota(route_table_t *table, route_org_t *org, const char *team,
					   uint64_t now_us)
{
	route_state_t state = ROUTE_QUEUED;
	route_quota_t *quota;

	pthread_mutex_lock(&table->lock);
	quota = team != NULL ? g_hash_table_lookup(org->quotas, team) : NULL;
	if (!admission_share_allows(org->open_requests, table->open_requests,
				    table->config.open_limit, table->org_count))
		state = ROUTE_SHARE_EXCEEDED;
	else if (quota != NULL && !quota_take(&quota->bucket, now_us))
		state = ROUTE_QUOTA_EXCEEDED;
	/* Refused requests are counted as well, because route_close_request() is called for them,
	 * too. */
	org->open_requests++;
	table->open_requests++;
	pthread_mutex_unlock(&table->lock);
	return state;
}

/* Queues the ticket, or returns why not. The caller must hold the shard's lock. */
static route_state_t enqueue_ticket(route_table_t *table, route_ticket_t *ticket, uint64_t now_us)
{
	route_pool_t *pool = ticket->pool;
	size_t count = collect_candidates(table, pool, NULL, now_us);
	uint32_t slot_total;
	uint32_t free_slots = count_free_slots(pool, count, &slot_total, now_us);

	if (!pool->in_template || ticket->class->retired)
		return ROUTE_REMOVED;
	if (count == 0)
		return ROUTE_NO_TARGET;
	switch (admission_offer(&pool->admission, &ticket->class->admission, &ticket->entry,
				slot_total, free_slots, now_us)) {
	case ADMISSION_FULL:
		return ROUTE_QUEUE_FULL;
	case ADMISSION_LATE:
		return ROUTE_TOO_LATE;
	case ADMISSION_QUEUED:
		break;
	}
	return ROUTE_QUEUED;
}

route_state_t route_admit(route_table_t *table, route_ticket_t *ticket, const char *team,
			  uint64_t now_us)
{
	route_pool_t *pool = ticket->pool;
	route_state_t state = check_share_and_quota(table, pool->org, team, now_us);

	pthread_mutex_lock(&pool->shard->lock);
	pool->offered++;
	ticket->state = state;
	if (state == ROUTE_QUEUED) {
		retry_budget_add_request(&pool->retry_budget);
		ticket->state = enqueue_ticket(table, ticket, now_us);
	}
	if (ticket->state == ROUTE_QUEUED)
		route_dispatch(table, pool, ticket, now_us);
	else
		pool->refused++;
	state = ticket->state;
	pthread_mutex_unlock(&pool->shard->lock);
	return state;
}

route_state_t route_retry(route_table_t *table, route_ticket_t *ticket, bool charge_budget,
			  uint64_t now_us)
{
	route_pool_t *pool = ticket->pool;
	route_state_t state = ROUTE_QUEUED;

	pthread_mutex_lock(&pool->shard->lock);
	if (!pool->in_template || ticket->class->retired)
		state = ROUTE_REMOVED;
	else if (collect_candidates(table, pool, NULL, now_us) == 0)
		state = ROUTE_NO_TARGET;
	else if (charge_budget && !retry_budget_take(&pool->retry_budget))
		state = ROUTE_NO_BUDGET;
	ticket->state = state;
	if (state == ROUTE_QUEUED) {
		admission_requeue(&pool->admission, &ticket->class->admission, &ticket->entry);
		route_dispatch(table, pool, ticket, now_us);
	}
	state = ticket->state;
	pthread_mutex_unlock(&pool->shard->lock);
	return state;
}

bool route_cancel(route_table_t *table, route_ticket_t *ticket)
{
	route_pool_t *pool = ticket->pool;
	bool queued;

	pthread_mutex_lock(&pool->shard->lock);
	queued = ticket->entry.queued;
	if (queued)
		admission_remove(&pool->admission, &ticket->class->admission, &ticket->entry);
	pthread_mutex_unlock(&pool->shard->lock);
	return queued;
}

bool route_has_usable_target(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us)
{
	route_pool_t *pool = ticket->pool;
	bool usable;

	pthread_mutex_lock(&pool->shard->lock);
	usable = collect_candidates(table, pool, NULL, now_us) > 0;
	pthread_mutex_unlock(&pool->shard->lock);
	return usable;
}

bool route_grant_is_valid(route_table_t *table, const route_ticket_t *ticket, uint64_t now_us)
{
	bool usable;

	pthread_mutex_lock(&ticket->pool->shard->lock);
	usable = route_target_usable(table, ticket->target, now_us) &&
		 ticket->target->epoch == ticket->epoch;
	pthread_mutex_unlock(&ticket->pool->shard->lock);
	return usable;
}

void route_finish_attempt(route_table_t *table, route_ticket_t *ticket, router_result_t result,
			  uint64_t elapsed_us, uint64_t now_us)
{
	route_target_entry_t *target = ticket->target;
	route_pool_t *pool = ticket->pool;
	size_t count;

	/*
	 * The attempt ended at the request's deadline, before the attempt timeout, so it does not
	 * count as a failure of the target.
	 */
	if (ticket->timed_out && elapsed_us < ticket->attempt_timeout_us) {
		ticket->timed_out = false;
		result = ROUTER_CANCELLED;
	}
	pthread_mutex_lock(&pool->shard->lock);
	count = collect_candidates(table, pool, NULL, now_us);
	router_finish(&target->router, pool->candidates, count, ticket->is_probe, result,
		      elapsed_us, now_us);
	slots_release(&target->slots);
	if (result == ROUTER_OK)
		slots_accepted(&target->slots);
	else if (result == ROUTER_REFUSED)
		slots_refused(&target->slots, now_us);
	if (result == ROUTER_OK || (ticket->timed_out && ticket->repeatable))
		adjust_timeout_factor(ticket->class, ticket->timed_out);
	if (result == ROUTER_OK) {
		admission_record_service_time(&ticket->class->admission, elapsed_us);
		pool->smoothed_service_us += 0.1 * ((double)elapsed_us - pool->smoothed_service_us);
	}
	ticket->target = NULL;
	route_target_free_if_idle(target);
	route_dispatch(table, pool, NULL, now_us);
	pthread_mutex_unlock(&pool->shard->lock);
}

void route_close_request(route_table_t *table, route_ticket_t *ticket)
{
	pthread_mutex_lock(&table->lock);
	ticket->pool->org->open_requests--;
	table->open_requests--;
	pthread_mutex_unlock(&table->lock);
}

static void tick_pool(route_table_t *table, route_pool_t *pool, uint64_t now_us)
{
	admission_entry_t *entry;

	while ((entry = admission_take_late(&pool->admission, now_us)) != NULL)
		settle_ticket(pool, (route_ticket_t *)entry, ROUTE_TOO_LATE, NULL);
	route_dispatch(table, pool, NULL, now_us);
}

void route_tick(route_table_t *table, uint64_t now_us)
{
	for (unsigned i = 0; i < table->config.shard_count; i++) {
		route_shard_t *shard = &table->shards[i];
		GHashTableIter iter;
		void *pool;

		pthread_mutex_lock(&shard->lock);
		g_hash_table_iter_init(&iter, shard->pools);
		while (g_hash_table_iter_next(&iter, NULL, &pool))
			tick_pool(table, pool, now_us);
		pthread_mutex_unlock(&shard->lock);
	}
}
