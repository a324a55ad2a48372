#include "flow/balancer_parts.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** Questions a second for each thousandth of a core. With its answer one takes
 * 0.7 microseconds among many and 1.4 alone (bench/flow-ask), and some 3 for
 * the two system calls when it travels alone: all take at most a third. */
#define ASK_PER_MILLI 64
/** A packet that an agent tries at its target costs as much as so many more. */
#define PROBE_QUESTIONS INT64_C(3)
/** A delegate that said nothing is not asked for this, ms. */
#define AVOID_MS 2000
/** Where a failure domain had no delegate one is looked for after this, ms. */
#define DELEGATES_AGAIN_MS 200
/** Questions are saved up for this, ms. */
#define ASK_SAVED_MS 1000

static void
send_gathered(
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

	if (!fb->gathered)
		return;
	fb->gathered = false;
	HASH_ITER(hh, fb->agents.table, v, next)
	{
		send_gathered(fb, v->id, FLOW_MSG_FIND, &v->questions);
	}
	HASH_ITER(hh, fb->peers.table, e, next_peer)
	{
		send_gathered(fb, e->id, FLOW_MSG_FIND, &e->questions);
		send_gathered(fb, e->id, FLOW_MSG_FOUND, &e->answers);
	}
}

void
fb_gather(struct fb *fb, uint64_t to, enum flow_msg_kind kind,
    struct msg_find *list, const struct find_item *item)
{
	list->flows[list->count++] = *item;
	fb->gathered = true;
	if (list->count == FLOW_FIND_MAX)
		send_gathered(fb, to, kind, list);
}

/* Ask an agent, or a delegate. */
static void
ask(struct fb *fb, const struct search *e, uint64_t whom)
{
	const struct find_item item = {.flow = e->flow, .ack = e->ack};
	struct agent_view *v = agents_find(&fb->agents, whom);
	struct peer *peer = v == NULL ? peers_find(&fb->peers, whom) : NULL;

	if (v != NULL)
		fb_gather(fb, whom, FLOW_MSG_FIND, &v->questions, &item);
	else if (peer != NULL)
		fb_gather(fb, whom, FLOW_MSG_FIND, &peer->questions, &item);
}

/*
 * Asking every agent is put off when too much was asked already: a search that
 * waits costs its caller some time, and a balancer that has no time left
 * answers nobody.
 */
static bool
may_ask(struct fb *fb, const struct search *e)
{
	return e->tier < SEARCH_ALL || fb->ask_credit_milli > 0;
}

void
fb_earn_credit(struct fb *fb, uint64_t passed_ns)
{
	int64_t per_s = (int64_t)fb->setup.capacity * ASK_PER_MILLI;
	int64_t most = per_s * ASK_SAVED_MS;

	fb->ask_credit_milli += per_s * (int64_t)(passed_ns / NS_PER_MS);
	if (fb->ask_credit_milli > most)
		fb->ask_credit_milli = most;
}

const struct delegates *
fb_delegates(struct fb *fb, uint64_t now)
{
	struct delegates *d = &fb->delegates;

	if (d->at_ns == 0 || fb_passed(d->at_ns, FB_TICK_MS, now))
		delegates_gather(d, &fb->peers, fb->setup.capacity, now);
	return d;
}

static void
ask_next(struct fb *fb, struct search *e, uint64_t now)
{
	const struct search_scope field = {.agents = &fb->agents,
	    .route = routes_find(&fb->routes, e->flow.service),
	    .delegates = fb_delegates(fb, now),
	    .domain = fb->setup.domain,
	    .domain_tag = fb->peers.domain_tag};
	size_t first;

	search_advance(e, &field, now, &first);
	ctr_add(fb->ctr, CTR_SEARCH_ASKED, e->query_count - first);
	if (e->tier == SEARCH_TIERS)
		fb->ask_credit_milli -=
		    (int64_t)(e->query_count - first) * 1000;
	for (size_t i = first; i < e->query_count; i++)
		ask(fb, e, e->queries[i].agent);
}

static void
ask_again(struct fb *fb, const struct search *e)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].answered)
			continue;
		ctr_inc(fb->ctr, CTR_SEARCH_ASKED);
		fb->ask_credit_milli -= 1000;
		ask(fb, e, e->queries[i].agent);
	}
}

static void
tell_ended(struct fb *fb, const struct search *e, enum search_verdict verdict,
    uint64_t now)
{
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX] = "";
	uint64_t open = search_first_pending(e);

	if (open != 0)
		addr_text(addr_unpack(open), agent);
	event("search_ended", "s:s, s:s, s:i, s:i, s:s, s:b, s:s, s:I",
	    "caller", addr_text(addr_unpack(e->flow.caller), caller), "outcome",
	    verdict == SEARCH_NOT_FOUND ? "nobody" : "unknown", "asked",
	    (int)e->query_count, "open", (int)e->pending, "waits_for", agent,
	    "complete", (int)e->complete, "doubt",
	    fb_doubt_name(fb_doubt(fb, e, now)), "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
}

static void
pass_over_delegates(struct fb *fb, struct search *e, uint64_t now)
{
	char delegate[ADDR_TEXT_MAX];
	uint64_t id;

	while ((id = search_expire_delegate(e, now, fb->lag_ms)) != 0) {
		struct peer *peer = peers_find(&fb->peers, id);

		ctr_inc(fb->ctr, CTR_DELEGATES_MUTE);
		event("delegate_mute", "s:s", "balancer",
		    addr_text(addr_unpack(id), delegate));
		if (peer != NULL)
			peer->avoid_until_ns = now + AVOID_MS * NS_PER_MS;
	}
}

/*
 * Go on with a search, or end it when its outcome is known; packets still
 * held are dropped then.
 */
void
fb_go_on(struct fb *fb, struct search *e, uint64_t now)
{
	enum search_verdict verdict;
	enum doubt doubt;

	pass_over_delegates(fb, e, now);
	while (search_is_due(e, &fb->agents, now, fb->lag_ms) && may_ask(fb, e))
		ask_next(fb, e, now);
	if (may_ask(fb, e) && search_should_retry(e, now, fb->lag_ms))
		ask_again(fb, e);
	verdict = search_verdict(e, &fb->agents, now, fb->lag_ms);
	doubt = verdict == SEARCH_NOT_FOUND ? fb_doubt(fb, e, now) : DOUBT_NONE;
	if (doubt == DOUBT_FAR &&
	    fb_passed(e->queried_ns, DELEGATES_AGAIN_MS, now))
		search_retry_delegates(e);
	if (doubt != DOUBT_NONE)
		verdict = search_has_expired(e, now, fb->lag_ms)
			      ? SEARCH_INCONCLUSIVE
			      : SEARCH_IN_PROGRESS;
	if (search_is_proxied(e)) {
		fb_errand_stands(fb, e, verdict, now);
		return;
	}
	if (verdict == SEARCH_IN_PROGRESS)
		return;
	tell_ended(fb, e, verdict, now);
	if (verdict == SEARCH_NOT_FOUND)
		fb_reset(fb, &e->flow, e->ack, CTR_RESET_GONE);
	else
		ctr_inc(fb->ctr, CTR_SEARCH_UNKNOWN);
	searches_remove(&fb->searches, e);
}

static void
send_probe(struct fb *fb, const struct search *e, const struct agent_view *v,
    struct str bytes)
{
	ctr_inc(fb->ctr, CTR_SEARCH_PROBES);
	if (e->tier == SEARCH_TIERS)
		fb->ask_credit_milli -= PROBE_QUESTIONS * 1000;
	fb_forward(fb, v, bytes, true);
}

/* Agents that are still unsure try the caller's next copy too: the one before
 * was lost, or their target was silent. */
static void
probe_again(
    struct fb *fb, struct search *e, const struct flow_packet *p, uint64_t now)
{
	if (e->probing == 0 || p->bytes.len == 0 ||
	    !fb_passed(e->last_query_ns, SEARCH_PROBE_TIMEOUT_MS, now))
		return;
	e->last_query_ns = now;
	for (size_t i = 0; i < e->query_count; i++) {
		const struct agent_view *v =
		    agents_find(&fb->agents, e->queries[i].agent);

		if (e->queries[i].replied_unknown && v != NULL)
			send_probe(fb, e, v, p->bytes);
	}
}

void
fb_seek(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &p->flow);

	if (e == NULL) {
		e = searches_begin(&fb->searches, p, now);
		ctr_inc(fb->ctr, CTR_SEARCHES);
		search_hold_packet(e, p);
		fb_go_on(fb, e, now);
		return;
	}
	if (!search_hold_packet(e, p))
		ctr_inc(fb->ctr, CTR_DROP_HELD);
	probe_again(fb, e, p, now);
}

void
fb_end_search(struct fb *fb, const struct flow_key *flow)
{
	struct search *e = searches_find(&fb->searches, flow);

	if (e != NULL)
		searches_remove(&fb->searches, e);
}

static void
found_at(
    struct fb *fb, struct search *e, const struct agent_view *v, uint64_t now)
{
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX];

	latency_note(&fb->search, now - e->began_ns);
	event("search_found", "s:s, s:s, s:i, s:i, s:I", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "agent",
	    addr_text(addr_unpack(v->id), agent), "asked", (int)e->query_count,
	    "held", (int)e->held_count, "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
	for (size_t i = 0; i < e->held_count; i++)
		fb_forward(fb, v,
		    (struct str){e->held[i]->bytes, e->held[i]->len}, false);
	searches_remove(&fb->searches, e);
}

static void
learn_hint(struct fb *fb, const struct flow_key *flow, uint64_t agent)
{
	hint_set(fb->hints, flow, agent);
	ctr_inc(fb->ctr, CTR_HINTS);
}

static void
on_found(struct fb *fb, struct agent_view *v, const struct find_item *found,
    uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &found->flow);

	if (found->where == FIND_HELD)
		learn_hint(fb, &found->flow, v->id);
	if (e == NULL)
		return;
	if (found->where == FIND_HELD) {
		found_at(fb, e, v, now);
		return;
	}
	search_handle_reply(e, v->id, found->where);
	if (found->where == FIND_UNKNOWN && e->held_count > 0)
		send_probe(
		    fb, e, v, (struct str){e->held[0]->bytes, e->held[0]->len});
	fb_go_on(fb, e, now);
}

static void
on_delegate_found(struct fb *fb, uint64_t delegate,
    const struct find_item *found, uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &found->flow);
	const struct agent_view *v = agents_find(&fb->agents, found->owner);

	if (e == NULL)
		return;
	if (found->where == FIND_UNKNOWN && v != NULL &&
	    !agents_silent(v, now)) {
		if (search_handle_delegate_referral(e, delegate, v->id))
			ask(fb, e, v->id);
		fb_go_on(fb, e, now);
		return;
	}
	if (found->where != FIND_HELD) {
		search_handle_delegate_reply(e, delegate, found->where);
		fb_go_on(fb, e, now);
		return;
	}
	if (v != NULL && !agents_silent(v, now)) {
		learn_hint(fb, &found->flow, v->id);
		found_at(fb, e, v, now);
		return;
	}
	/* The agent is met first; the delegate is asked again then. */
	search_handle_delegate_reply(e, delegate, FIND_PENDING);
	if (found->owner != 0)
		fb_greet(fb, found->owner, now);
}

void
fb_on_found(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, m->from);

	for (uint32_t i = 0; i < m->u.find.count; i++) {
		const struct find_item *found = &m->u.find.flows[i];

		if (v == NULL) {
			on_delegate_found(fb, m->from, found, now);
			continue;
		}
		fb_errand_found(fb, v->id, found, now);
		on_found(fb, v, found, now);
	}
}

void
fb_on_away(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct flow_packet p = {.flow = m->u.flow.flow,
	    .ack = m->u.flow.ack,
	    .bytes = m->u.flow.bytes};

	ctr_inc(fb->ctr, CTR_RETRY_AWAY);
	if (hint_get(fb->hints, &p.flow) == m->from)
		hint_drop(fb->hints, &p.flow);
	fb_seek(fb, &p, now);
}

void
fb_tick_searches(struct fb *fb, uint64_t now)
{
	struct search *e, *next;

	HASH_ITER(hh, fb->searches.table, e, next)
	{
		fb_go_on(fb, e, now);
	}
	HASH_ITER(hh, fb->errands.table, e, next)
	{
		fb_go_on(fb, e, now);
	}
}
