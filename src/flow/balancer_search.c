#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** Queries to all agents per second, for each thousandth of a core. A query and
 * its reply take 0.7 us when many share a message, and 1.4 us when each has a
 * message of its own (bench/flow-ask), which adds some 3 us for the two system
 * calls. Queries therefore use at most a third of the processor time. */
#define QUERIES_PER_MILLI 64
/** A delegate that did not answer gets no queries for this long, in ms. */
#define AVOID_MS 2000
/** Time until a search looks again for a delegate of a failure domain that had
 * none, in ms. */
#define DELEGATE_RETRY_MS 200
/** Unused credit is kept for up to this long, in ms. */
#define QUERY_CREDIT_MAX_MS 1000

static void
send_queue(
    struct fb *fb, uint64_t to, enum flow_msg_kind kind, struct msg_find *list)
{
	struct flow_msg m = {.kind = kind, .u.find = *list};

	if (list->count == 0)
		return;
	list->count = 0;
	fb_send(fb, to, &m);
}

void
fb_flush(struct fb *fb)
{
	struct agent_view *v, *next;
	struct peer *e, *next_peer;

	if (!fb->has_queued)
		return;
	fb->has_queued = false;
	HASH_ITER(hh, fb->agents.table, v, next)
	{
		send_queue(fb, v->id, FLOW_MSG_FIND, &v->queries);
	}
	HASH_ITER(hh, fb->peers.table, e, next_peer)
	{
		send_queue(fb, e->id, FLOW_MSG_FIND, &e->queries);
		send_queue(fb, e->id, FLOW_MSG_FOUND, &e->replies);
	}
}

void
fb_enqueue(struct fb *fb, uint64_t to, enum flow_msg_kind kind,
    struct msg_find *list, const struct find_item *item)
{
	list->flows[list->count++] = *item;
	fb->has_queued = true;
	if (list->count == FLOW_FIND_MAX)
		send_queue(fb, to, kind, list);
}

/* Queue a query for an agent or a delegate. */
static void
queue_query(struct fb *fb, const struct search *e, uint64_t to, uint64_t now)
{
	const struct find_item item = {.flow = e->flow,
	    .ack = e->ack,
	    .probed_ms = flow_times_age_ms(&fb->probed, &e->flow, e->ack, now)};
	struct agent_view *v = agents_find(&fb->agents, to);
	struct peer *peer = v == NULL ? peers_find(&fb->peers, to) : NULL;

	if (v != NULL)
		fb_enqueue(fb, to, FLOW_MSG_FIND, &v->queries, &item);
	else if (peer != NULL)
		fb_enqueue(fb, to, FLOW_MSG_FIND, &peer->queries, &item);
}

/*
 * Queries to all agents wait while the credit is spent: the wait delays one
 * caller, whereas a balancer without processor time left serves no caller.
 */
static bool
may_query(struct fb *fb, const struct search *e)
{
	return e->tier < SEARCH_ALL || fb->query_credit_milli > 0;
}

void
fb_refill_query_credit(struct fb *fb, uint64_t passed_ns)
{
	int64_t per_s = (int64_t)fb->setup.capacity * QUERIES_PER_MILLI;
	int64_t most = per_s * QUERY_CREDIT_MAX_MS;

	fb->query_credit_milli += per_s * (int64_t)(passed_ns / NS_PER_MS);
	if (fb->query_credit_milli > most)
		fb->query_credit_milli = most;
}

const struct delegates *
fb_delegates(struct fb *fb, uint64_t now)
{
	struct delegates *d = &fb->delegates;

	if (d->updated_ns == 0 ||
	    fb_has_elapsed(d->updated_ns, FB_TICK_MS, now))
		delegates_update(d, &fb->peers, fb->setup.capacity, now);
	return d;
}

static void
query_next(struct fb *fb, struct search *e, uint64_t now)
{
	const struct search_scope scope = {.agents = &fb->agents,
	    .route = routes_find(&fb->routes, e->flow.service),
	    .delegates = fb_delegates(fb, now),
	    .domain = fb->setup.domain,
	    .domain_tag = fb->peers.domain_tag};
	size_t first;

	search_advance(e, &scope, now, &first);
	ctr_add(fb->ctr, CTR_SEARCH_ASKED, e->query_count - first);
	if (e->tier == SEARCH_TIERS)
		fb->query_credit_milli -=
		    (int64_t)(e->query_count - first) * 1000;
	for (size_t i = first; i < e->query_count; i++)
		queue_query(fb, e, e->queries[i].agent, now);
}

static void
query_again(struct fb *fb, const struct search *e, uint64_t now)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].answered)
			continue;
		ctr_inc(fb->ctr, CTR_SEARCH_ASKED);
		fb->query_credit_milli -= 1000;
		queue_query(fb, e, e->queries[i].agent, now);
	}
}

static void
log_search_ended(struct fb *fb, const struct search *e,
    enum search_verdict verdict, uint64_t now)
{
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX] = "";
	uint64_t open = search_first_pending(e);

	if (open != 0)
		addr_text(addr_unpack(open), agent);
	event("search_ended", "s:s, s:s, s:i, s:i, s:s, s:b, s:s, s:I",
	    "caller", addr_text(addr_unpack(e->flow.caller), caller), "outcome",
	    verdict == SEARCH_NOT_FOUND ? "not_found" : "unknown", "queried",
	    (int)e->query_count, "pending", (int)e->pending, "pending_agent",
	    agent, "complete", (int)e->complete, "uncertainty",
	    fb_uncertainty_name(fb_uncertainty(fb, e, now)), "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
}

static void
drop_unresponsive_delegates(struct fb *fb, struct search *e, uint64_t now)
{
	char delegate[ADDR_TEXT_MAX];
	uint64_t id;

	while ((id = search_expire_delegate(e, now, fb->lag_ms)) != 0) {
		struct peer *peer = peers_find(&fb->peers, id);

		ctr_inc(fb->ctr, CTR_DELEGATES_UNRESPONSIVE);
		event("delegate_timeout", "s:s", "balancer",
		    addr_text(addr_unpack(id), delegate));
		if (peer != NULL)
			peer->avoid_until_ns = now + AVOID_MS * NS_PER_MS;
	}
}

/*
 * Continue a search, or end it when its outcome is known. Held packets are
 * dropped when it ends.
 */
void
fb_continue_search(struct fb *fb, struct search *e, uint64_t now)
{
	enum search_verdict verdict;
	enum uncertainty uncertainty;

	fb_send_due_probes(fb, e, now);
	drop_unresponsive_delegates(fb, e, now);
	while (
	    search_is_due(e, &fb->agents, now, fb->lag_ms) && may_query(fb, e))
		query_next(fb, e, now);
	if (may_query(fb, e) && search_should_retry(e, now, fb->lag_ms))
		query_again(fb, e, now);
	verdict = search_verdict(e, &fb->agents, now, fb->lag_ms);
	uncertainty = verdict == SEARCH_NOT_FOUND ? fb_uncertainty(fb, e, now)
						  : UNCERTAINTY_NONE;
	if (uncertainty == UNCERTAINTY_REMOTE &&
	    fb_has_elapsed(e->queried_ns, DELEGATE_RETRY_MS, now))
		search_retry_delegates(e);
	if (uncertainty != UNCERTAINTY_NONE)
		verdict = search_has_expired(e, now, fb->lag_ms)
			      ? SEARCH_INCONCLUSIVE
			      : SEARCH_IN_PROGRESS;
	if (search_is_proxied(e)) {
		fb_update_proxied_search(fb, e, verdict, now);
		return;
	}
	if (verdict == SEARCH_IN_PROGRESS)
		return;
	log_search_ended(fb, e, verdict, now);
	if (verdict == SEARCH_NOT_FOUND)
		fb_reset(fb, &e->flow, e->ack, CTR_RESET_FLOW_GONE);
	else
		ctr_inc(fb->ctr, CTR_SEARCHES_UNKNOWN);
	searches_remove(&fb->searches, e);
}

void
fb_search_agent(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &p->flow);

	if (e != NULL && !search_is_about(e, p->ack)) {
		/* Of an earlier flow: the caller has used its port again. */
		searches_remove(&fb->searches, e);
		e = NULL;
	}
	if (e == NULL) {
		e = searches_begin(&fb->searches, p, now);
		ctr_inc(fb->ctr, CTR_SEARCHES);
		search_hold_packet(e, p);
		fb_continue_search(fb, e, now);
		return;
	}
	if (!search_hold_packet(e, p))
		ctr_inc(fb->ctr, CTR_DROP_HELD);
	fb_probe_again(fb, e, p, now);
}

void
fb_end_search(struct fb *fb, const struct flow_key *flow)
{
	struct search *e = searches_find(&fb->searches, flow);

	if (e != NULL)
		searches_remove(&fb->searches, e);
}

static void
finish_found(
    struct fb *fb, struct search *e, const struct agent_view *v, uint64_t now)
{
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX];

	latency_record(&fb->search, now - e->began_ns);
	event("search_found", "s:s, s:s, s:i, s:i, s:I", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "agent",
	    addr_text(addr_unpack(v->id), agent), "queried",
	    (int)e->query_count, "held", (int)e->held_count, "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
	for (size_t i = 0; i < e->held_count; i++)
		fb_forward(fb, v, &e->flow,
		    (struct str){e->held[i]->bytes, e->held[i]->len}, false);
	flow_times_remove(&fb->probed, &e->flow);
	searches_remove(&fb->searches, e);
}

static void
set_hint(struct fb *fb, const struct flow_key *flow, uint64_t agent)
{
	hint_set(fb->hints, flow, agent);
	ctr_inc(fb->ctr, CTR_HINTS);
}

static void
on_agent_reply(struct fb *fb, struct agent_view *v,
    const struct find_item *found, uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &found->flow);

	if (e != NULL && !search_is_about(e, found->ack))
		return;
	if (found->where == FIND_HELD)
		set_hint(fb, &found->flow, v->id);
	if (e == NULL)
		return;
	if (found->where == FIND_HELD) {
		finish_found(fb, e, v, now);
		return;
	}
	search_handle_reply(e, v->id, found->where);
	fb_continue_search(fb, e, now);
}

static void
on_delegate_reply(struct fb *fb, uint64_t delegate,
    const struct find_item *found, uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &found->flow);
	struct agent_view *v = agents_find(&fb->agents, found->owner);

	if (e == NULL || !search_is_about(e, found->ack))
		return;
	if (found->owner == 0 || found->where == FIND_NOT_HELD ||
	    found->where == FIND_PENDING) {
		search_handle_delegate_reply(e, delegate, found->where);
		fb_continue_search(fb, e, now);
		return;
	}
	if (v == NULL || agent_is_silent(v, now)) {
		/* This balancer does not know the agent that holds the flow or
		 * may hold it. Send it a heartbeat; the delegate is queried
		 * again later. */
		search_handle_delegate_reply(e, delegate, FIND_PENDING);
		fb_send_heartbeat(fb, found->owner, now);
		return;
	}
	if (found->where == FIND_HELD) {
		set_hint(fb, &found->flow, v->id);
		finish_found(fb, e, v, now);
		return;
	}
	if (search_handle_delegate_referral(e, delegate, v->id))
		queue_query(fb, e, v->id, now);
	fb_continue_search(fb, e, now);
}

void
fb_on_query_replies(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, m->from);

	for (uint32_t i = 0; i < m->u.find.count; i++) {
		const struct find_item *found = &m->u.find.flows[i];

		flow_times_add_age(&fb->probed, &found->flow, found->ack,
		    found->probed_ms, now);
		if (v == NULL) {
			on_delegate_reply(fb, m->from, found, now);
			continue;
		}
		fb_on_proxied_reply(fb, v->id, found, now);
		on_agent_reply(fb, v, found, now);
	}
}

void
fb_on_returned_packet(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct flow_packet p = {.flow = m->u.flow.flow,
	    .ack = m->u.flow.ack,
	    .bytes = m->u.flow.bytes};

	ctr_inc(fb->ctr, CTR_RETRY_FLOW_AWAY);
	if (hint_get(fb->hints, &p.flow) == m->from)
		hint_drop(fb->hints, &p.flow);
	fb_search_agent(fb, &p, now);
}

void
fb_tick_searches(struct fb *fb, uint64_t now)
{
	struct search *e, *next;

	HASH_ITER(hh, fb->searches.table, e, next)
	{
		fb_continue_search(fb, e, now);
	}
	HASH_ITER(hh, fb->proxied_searches.table, e, next)
	{
		fb_continue_search(fb, e, now);
	}
}
