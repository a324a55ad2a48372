#include "flow/agent_internal.h"

#include "base/clock.h"
#include "base/event.h"
#include "flow/heartbeat_period.h"
#include "flow/isolation.h"

/** Openings that the target has not answered within this, in ms, are refused: a
 * target answers in less than a millisecond. */
#define OPENING_TIMEOUT_MS 100
/** After a longer gap between ticks, in ms, answers may lie unread. */
#define TICK_GAP_MS 150
/** Time after the start in which balancers are still being discovered, in ms.
 */
#define STARTUP_MS 3000
/** Until a balancer has replied, and at most for this, in ms, seeds get a
 * heartbeat every tick: machines that are started together are up within some
 * seconds of each other. */
#define SEED_WAIT_MS 10000
/** Time between two checks of the target, in ms. */
#define CHECK_INTERVAL_MS 500
/** The target is checked when no packet came from it for this, in ms, after a
 * request: it acknowledges requests much sooner. */
#define UNANSWERED_MS 300
/** Longest time in ms for which a stop waits for requests at the target. */
#define LEAVE_TIMEOUT_MS 1500
/** Rounds of heartbeats sent at once after a change of state. */
#define STATE_CHANGE_ROUNDS 2
/** Period of requests for a list of balancers until one confirms that the list
 * is complete, in ms; then isolation_list_period_ms(). */
#define LIST_QUERY_STARTUP_MS 1000
/** A request without an answer is repeated after this, in ms, to another
 * balancer, at most so often in a row: the one that was asked may have ended,
 * but if many do not answer, they have no budget left for lists. */
#define LIST_RETRY_MS 1000
#define LIST_RETRIES_MAX 2
/** Period in which idle flows are removed, in ms. */
#define EXPIRE_INTERVAL_MS 1000

static bool
is_starting(const struct fa *fa, uint64_t now)
{
	return !fa_has_elapsed(fa->target.agent_started_ns, STARTUP_MS, now);
}

static uint64_t
local_period_ms(const struct fa *fa, uint64_t now)
{
	uint64_t local = peers_count_local(&fa->peers);

	return is_starting(fa, now) ? heartbeat_startup_local_ms(local)
				    : heartbeat_local_ms(local);
}

static uint64_t
remote_period_ms(const struct fa *fa, uint64_t now)
{
	uint64_t known = peers_count(&fa->peers);

	return is_starting(fa, now) ? heartbeat_startup_remote_ms(known)
				    : heartbeat_remote_ms(known);
}

/* ---- messages ---- */

static enum find_result
find_flow(const struct fa *fa, const struct find_item *item, uint64_t now)
{
	const struct flow_entry *f = table_find(&fa->flows, &item->flow);

	if (f == NULL || f->state == ENTRY_PROBED ||
	    table_is_outdated(f, item->ack))
		return fa_may_hold_unknown_flow(fa, &item->flow, item->ack, now)
			   ? FIND_UNKNOWN
			   : FIND_NOT_HELD;
	return f->state != ENTRY_OPENING && table_ack_matches(f, item->ack)
		   ? FIND_HELD
		   : FIND_NOT_HELD;
}

static void
on_find(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	struct flow_msg reply = {.kind = FLOW_MSG_FOUND};

	reply.u.find = m->u.find;
	for (uint32_t i = 0; i < m->u.find.count; i++) {
		struct find_item *item = &reply.u.find.flows[i];

		flow_times_add_age(
		    &fa->probed, &item->flow, item->ack, item->probed_ms, now);
		item->where = find_flow(fa, item, now);
		item->probed_ms =
		    flow_times_age_ms(&fa->probed, &item->flow, item->ack, now);
	}
	fa_send(fa, m->from, &reply);
}

static void
send_heartbeat(struct fa *fa, uint64_t to, bool ask, uint64_t now)
{
	const struct peer *e = peers_find(&fa->peers, to);
	struct flow_msg m = {.kind = FLOW_MSG_AGENT};
	struct msg_agent *a = &m.u.agent;
	uint64_t cold = fa->target.cold_until_ns;
	uint64_t later = now + STARTUP_MS * NS_PER_MS;

	a->service = fa->target.service;
	str_copy(a->domain, sizeof(a->domain), str_of(fa->setup.domain));
	a->data_port = fa->setup.data_port;
	a->state = fa->reported_state;
	a->cold_ms = cold > now ? (uint32_t)((cold - now) / NS_PER_MS) : 0;
	a->slots = fa->target.last_heartbeat.slots;
	a->busy_milli = (uint32_t)fa->busy_milli;
	a->waiting = fa->flows.waiting;
	a->flows = fa->flows.open;
	a->failing = failure_rate_milli(&fa->failing, now);
	a->queued = rq_count(&fa->flows.queue);
	a->by_priority = fa_priority_load(fa);
	a->work_us = work_time_mean_us(&fa->work);
	a->work_samples = work_time_samples(&fa->work);
	/* Report the period that follows the startup, or the agent would count
	 * as silent then. */
	a->period_ms = (uint32_t)(e != NULL && !peers_is_local(&fa->peers, e)
				      ? remote_period_ms(fa, later)
				      : local_period_ms(fa, later));
	a->gone = fa->leaving_ns != 0 && target_has_ended(&fa->target, now);
	a->ask = ask;
	a->peers = peers_digest(&fa->peers);
	a->version = fa->routes_version;
	a->evacuation = fa->evacuation.revision;
	a->limits = fa->cold.version;
	fa_send(fa, to, &m);
}

static void
merge_evacuations(struct fa *fa, const struct msg_balancer *b)
{
	bool before =
	    evacuation_contains(&fa->evacuation, fa->peers.domain_tag);
	bool after;

	if (fa->setup.evacuation_ms == 0)
		return;
	evacuation_merge(
	    &fa->evacuation, b->evacuation, b->evacuated, b->evacuated_count);
	after = evacuation_contains(&fa->evacuation, fa->peers.domain_tag);
	if (before == after)
		return;
	ctr_inc(fa->ctr, CTR_EVACUATIONS_APPLIED);
	event("evacuation", "s:I, s:b, s:i, s:i", "revision",
	    (json_int_t)fa->evacuation.revision, "own_domain", (int)after,
	    "flows", (int)fa->flows.open, "slots",
	    (int)fa->target.last_heartbeat.slots);
}

static void
learn_limits(struct fa *fa, const struct msg_balancer *b)
{
	if (cold_limit_learn(&fa->cold, b->limits, b->cold_per_s_milli))
		event("cold_limit", "s:I, s:i", "version",
		    (json_int_t)b->limits, "cold_per_s_milli",
		    (int)b->cold_per_s_milli);
}

static void
on_peers(struct fa *fa, const struct msg_peers *list, uint64_t now)
{
	uint64_t new_ids[FLOW_PEERS_MAX];
	size_t count = 0;

	if (list->same) {
		peers_refresh_all(&fa->peers, now);
		/* Earlier heartbeats announced the shorter period that applies
		 * to fewer balancers. */
		if (!fa->balancers_complete &&
		    !fa_has_elapsed(
			fa->target.agent_started_ns, SEED_WAIT_MS, now))
			fa->immediate_rounds = 1;
		fa->balancers_complete = true;
	}
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age <= now &&
		    age <= peers_forget_ms(&fa->peers) * NS_PER_MS &&
		    peers_record(&fa->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			new_ids[count++] = list->peers[i].id;
	}
	/*
	 * Send heartbeats only after all entries were added: balancers compare
	 * the digest of this agent's table with their own. After a sample, ask
	 * the first new balancer for its list, which may have more entries.
	 */
	for (size_t i = 0; i < count; i++)
		send_heartbeat(fa, new_ids[i], list->sample && i == 0, now);
	if (count > 0)
		fa->balancers_complete = false;
}

void
fa_handle_message(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	switch (m->kind) {
	case FLOW_MSG_FIND:
		on_find(fa, m, now);
		return;
	case FLOW_MSG_PEERS:
		fa->balancer_seen = true;
		fa->list_failures = 0;
		peers_record(&fa->peers, m->from, now, 0);
		on_peers(fa, &m->u.peers, now);
		return;
	case FLOW_MSG_BALANCER:
		/* Balancers send it to agents that are silent or unknown, that
		 * are to keep a copy of newer routes, or that do not know the
		 * newest evacuations. */
		if (m->u.balancer.version > fa->routes_version)
			fa->routes_source = m->from;
		fa->balancer_seen = true;
		merge_evacuations(fa, &m->u.balancer);
		learn_limits(fa, &m->u.balancer);
		peers_record(&fa->peers, m->from, now,
		    flow_service_tag(str_of(m->u.balancer.domain)));
		send_heartbeat(fa, m->from, false, now);
		return;
	case FLOW_MSG_AGENT:
	case FLOW_MSG_FOUND:
	case FLOW_MSG_ACCEPTED:
	case FLOW_MSG_REFUSED:
	case FLOW_MSG_NOT_HELD:
		break;
	}
	ctr_inc(fa->ctr, CTR_DROP_KIND);
}

uint64_t
fa_take_routes_source(struct fa *fa)
{
	uint64_t source = fa->routes_source;

	fa->routes_source = 0;
	return source;
}

void
fa_set_routes_version(struct fa *fa, uint64_t version)
{
	if (version > fa->routes_version)
		fa->routes_version = version;
}

/* ---- time ---- */

/* Refuse openings that the target has not answered in time. */
void
fa_tick_openings(struct fa *fa, uint64_t now)
{
	struct flow_entry *f, *next;

	HASH_ITER(hh, fa->flows.table, f, next)
	{
		if (f->state != ENTRY_OPENING || f->timeout_reported ||
		    !fa_has_elapsed(f->state_since_ns, OPENING_TIMEOUT_MS, now))
			continue;
		f->timeout_reported = true;
		target_suspect(&fa->target, f->state_since_ns);
		fa_refuse(fa, f->via, &f->flow, FLOW_REFUSED_SILENT);
	}
}

/* Whether there is a reason to check that the target runs. */
static bool
should_check_target(const struct fa *fa, uint64_t now)
{
	const struct target *t = &fa->target;

	if (t->refused)
		return false;
	if (t->last_heartbeat.id == 0 && t->last_packet_ns == 0)
		return true;
	if (t->suspected)
		return true;
	return fa->unanswered_ns > t->last_packet_ns &&
	       fa_has_elapsed(fa->unanswered_ns, UNANSWERED_MS, now);
}

static void
tick_target_check(struct fa *fa, uint64_t now)
{
	if (fa->check_pending || !should_check_target(fa, now) ||
	    !fa_has_elapsed(fa->last_check_ns, CHECK_INTERVAL_MS, now))
		return;
	fa->check_pending = true;
	fa->last_check_ns = now;
	fa->callbacks->check_target(fa->ctx);
}

void
fa_handle_check_result(struct fa *fa, enum fa_check_result result, uint64_t now)
{
	static const char *const names[] = {"accepted", "refused", "no_reply"};

	fa->check_pending = false;
	event("target_checked", "s:s, s:i, s:I", "result", names[result],
	    "flows", (int)fa->flows.open, "last_packet_age_ms",
	    (json_int_t)((now - fa->target.last_packet_ns) / NS_PER_MS));
	if (result == FA_CHECK_ACCEPTED)
		target_set_listens(&fa->target);
	/* What the target sent since the check began is more recent than a
	 * refusal. */
	if (result != FA_CHECK_REFUSED ||
	    fa->target.last_packet_ns > fa->last_check_ns ||
	    fa->target.heartbeat_ns > fa->last_check_ns)
		return;
	target_set_refused(&fa->target);
	fa_reset_all_flows(fa, now);
}

uint64_t
fa_list_query_period_ms(const struct fa *fa)
{
	return fa->balancers_complete
		   ? isolation_list_period_ms(peers_count(&fa->peers))
		   : LIST_QUERY_STARTUP_MS;
}

/*
 * The balancer from which to request a list now, by its position in the table;
 * SIZE_MAX for none. Each time it is another one, as some may have ended.
 */
static size_t
next_list_source(struct fa *fa, uint64_t now)
{
	size_t known = peers_count(&fa->peers);
	bool retries = fa->list_failures % (LIST_RETRIES_MAX + 1) != 0;
	uint64_t period_ms =
	    retries ? LIST_RETRY_MS : fa_list_query_period_ms(fa);

	if (known == 0 || !fa_has_elapsed(fa->list_query_ns, period_ms, now))
		return SIZE_MAX;
	fa->list_query_ns = now;
	fa->list_failures++;
	return (size_t)((fa->setup.incarnation + fa->list_queries++) % known);
}

static void
send_heartbeats(struct fa *fa, bool remote, uint64_t now)
{
	size_t list_from = next_list_source(fa, now);
	size_t at = 0;
	struct peer *e, *next;

	fa->heartbeat_sent_ns = now;
	fa->remote_heartbeat_sent_ns =
	    remote ? now : fa->remote_heartbeat_sent_ns;
	fa_update_load(fa, now);
	HASH_ITER(hh, fa->peers.table, e, next)
	{
		bool ask = at++ == list_from;

		if (remote || ask || peers_is_local(&fa->peers, e))
			send_heartbeat(fa, e->id, ask, now);
	}
}

static void
add_seeds(struct fa *fa, uint64_t now)
{
	for (size_t i = 0; i < fa->setup.seed_count; i++)
		peers_record(&fa->peers, fa->setup.seeds[i], now, 0);
}

/* Whether no balancer has replied yet; the seeds may be about to start. */
static bool
awaits_first_balancer(const struct fa *fa, uint64_t now)
{
	return !fa->balancer_seen &&
	       !fa_has_elapsed(fa->target.agent_started_ns, SEED_WAIT_MS, now);
}

static void
tick_state(struct fa *fa, uint64_t now)
{
	enum target_state state = target_state_at(&fa->target, now);

	if (fa->leaving_ns != 0 && state == TARGET_READY)
		state = TARGET_LEAVING;
	if (state != fa->reported_state) {
		event("target_state", "s:i, s:i, s:I, s:i, s:i", "state",
		    (int)state, "previous_state", (int)fa->reported_state,
		    "heartbeat_age_ms",
		    (json_int_t)((now - fa->target.heartbeat_ns) / NS_PER_MS),
		    "flows", (int)fa->flows.open, "waiting",
		    (int)fa->flows.waiting);
		fa->reported_state = state;
		fa->immediate_rounds = STATE_CHANGE_ROUNDS;
	}
	if (fa->immediate_rounds > 0 || awaits_first_balancer(fa, now) ||
	    fa_has_elapsed(
		fa->heartbeat_sent_ns, local_period_ms(fa, now), now)) {
		bool remote = fa->immediate_rounds > 0 ||
			      fa_has_elapsed(fa->remote_heartbeat_sent_ns,
				  remote_period_ms(fa, now), now);

		fa->immediate_rounds -= fa->immediate_rounds > 0 ? 1 : 0;
		send_heartbeats(fa, remote, now);
	}
}

void
fa_tick(struct fa *fa, uint64_t now)
{
	/* After a gap, answers may lie unread: timers run before sockets. */
	if (!fa_has_elapsed(fa->last_tick_ns, TICK_GAP_MS, now))
		fa_tick_openings(fa, now);
	fa->last_tick_ns = now;
	fa_release_due(fa, now);
	fa_tick_holding(fa, now);
	tick_target_check(fa, now);
	fa_continue_recovery(fa, now);
	tick_state(fa, now);
	if (fa_has_elapsed(fa->last_expiry_ns, EXPIRE_INTERVAL_MS, now)) {
		fa->last_expiry_ns = now;
		fa_update_load(fa, now);
		table_expire(&fa->flows, fa->setup.flow_life_ms, now);
		/* A flow that is still missing in the table has expired. */
		if (fa_has_elapsed(
			fa->incomplete_since_ns, fa->setup.flow_life_ms, now))
			fa->flows_complete |= fa->target.last_heartbeat.id != 0;
		peers_expire(&fa->peers, now);
		if (peers_count(&fa->peers) == 0)
			add_seeds(fa, now);
	}
}

void
fa_handle_pause(struct fa *fa, uint64_t gap_ms, uint64_t now)
{
	ctr_inc(fa->ctr, CTR_PAUSES);
	event("paused", "s:I", "gap_ms", (json_int_t)gap_ms);
	work_time_skip(&fa->work, now);
	/* Answers may lie unread: the next tick refuses no openings. */
	fa->last_tick_ns = 0;
	fa->immediate_rounds = STATE_CHANGE_ROUNDS;
}

void
fa_contact_balancer(struct fa *fa, uint64_t id, uint64_t now)
{
	/* The entry may be of a dead balancer, so it is added to the peers only
	 * when the balancer replies. */
	if (peers_find(&fa->peers, id) == NULL)
		send_heartbeat(fa, id, true, now);
}

void
fa_leave(struct fa *fa, uint64_t now)
{
	fa->leaving_ns = now;
	/* An agent that leaves holds nothing. */
	fa_release_due(fa, now);
	send_heartbeats(fa, true, now);
	tick_state(fa, now);
}

bool
fa_has_left(const struct fa *fa, uint64_t now)
{
	if (fa->leaving_ns == 0)
		return false;
	/* The last heartbeats, sent by fa_leave(), are out by now. */
	return fa->flows.waiting == 0 || target_has_ended(&fa->target, now) ||
	       fa_has_elapsed(fa->leaving_ns, LEAVE_TIMEOUT_MS, now);
}
