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
/** Questions are saved up for this, ms. */
#define ASK_SAVED_MS 1000

static void
send_questions(struct fb *fb, struct agent_view *v)
{
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .u.find = v->questions};

	v->questions.count = 0;
	fb_send(fb, v->id, &m);
}

void
fb_flush(struct fb *fb)
{
	struct agent_view *v, *next;

	if (!fb->questions)
		return;
	fb->questions = false;
	HASH_ITER(hh, fb->agents.table, v, next)
	{
		if (v->questions.count > 0)
			send_questions(fb, v);
	}
}

static void
gather(struct fb *fb, const struct search *e, uint64_t agent)
{
	struct agent_view *v = agents_find(&fb->agents, agent);

	if (v == NULL)
		return;
	v->questions.flows[v->questions.count++] =
	    (struct msg_found){.flow = e->flow, .ack = e->ack};
	fb->questions = true;
	if (v->questions.count == FLOW_FIND_MAX)
		send_questions(fb, v);
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

static void
ask_next(struct fb *fb, struct search *e, uint64_t now)
{
	const struct search_field field = {.agents = &fb->agents,
	    .route = routes_find(&fb->routes, e->flow.service),
	    .domain = fb->setup.domain};
	size_t first;

	search_next(e, &field, now, &first);
	ctr_add(fb->ctr, CTR_SEARCH_ASKED, e->asked_count - first);
	if (e->tier == SEARCH_TIERS)
		fb->ask_credit_milli -=
		    (int64_t)(e->asked_count - first) * 1000;
	for (size_t i = first; i < e->asked_count; i++)
		gather(fb, e, e->asked[i].agent);
}

static void
ask_again(struct fb *fb, const struct search *e)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].answered)
			continue;
		ctr_inc(fb->ctr, CTR_SEARCH_ASKED);
		fb->ask_credit_milli -= 1000;
		gather(fb, e, e->asked[i].agent);
	}
}

static void
tell_ended(struct fb *fb, const struct search *e, enum search_verdict verdict,
    uint64_t now)
{
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX] = "";
	uint64_t open = search_open(e);

	if (open != 0)
		addr_text(addr_unpack(open), agent);
	event("search_ended", "s:s, s:s, s:i, s:i, s:s, s:b, s:b, s:I",
	    "caller", addr_text(addr_unpack(e->flow.caller), caller), "outcome",
	    verdict == SEARCH_NOBODY ? "nobody" : "unknown", "asked",
	    (int)e->asked_count, "open", (int)e->pending, "waits_for", agent,
	    "complete", (int)e->complete, "certain", (int)fb_certain(fb, now),
	    "took_ms", (json_int_t)((now - e->began_ns) / NS_PER_MS));
}

/*
 * Go on with a search, or end it when its outcome is known; packets still
 * held are dropped then.
 */
static void
go_on(struct fb *fb, struct search *e, uint64_t now)
{
	enum search_verdict verdict;

	while (search_due(e, &fb->agents, now, fb->lag_ms) && may_ask(fb, e))
		ask_next(fb, e, now);
	if (may_ask(fb, e) && search_again(e, now, fb->lag_ms))
		ask_again(fb, e);
	verdict = search_verdict(e, &fb->agents, now, fb->lag_ms);
	if (verdict == SEARCH_NOBODY && !fb_certain(fb, now))
		verdict = search_expired(e, now, fb->lag_ms) ? SEARCH_UNKNOWN
							     : SEARCH_OPEN;
	if (verdict == SEARCH_OPEN)
		return;
	tell_ended(fb, e, verdict, now);
	if (verdict == SEARCH_NOBODY)
		fb_reset(fb, &e->flow, e->ack, CTR_RESET_GONE);
	else
		ctr_inc(fb->ctr, CTR_SEARCH_UNKNOWN);
	searches_drop(&fb->searches, e);
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
	if (e->trying == 0 || p->bytes.len == 0 ||
	    !fb_passed(e->again_ns, SEARCH_TRY_MS, now))
		return;
	e->again_ns = now;
	for (size_t i = 0; i < e->asked_count; i++) {
		const struct agent_view *v =
		    agents_find(&fb->agents, e->asked[i].agent);

		if (e->asked[i].unsure && v != NULL)
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
		search_hold(e, p);
		go_on(fb, e, now);
		return;
	}
	if (!search_hold(e, p))
		ctr_inc(fb->ctr, CTR_DROP_HELD);
	probe_again(fb, e, p, now);
}

void
fb_end_search(struct fb *fb, const struct flow_key *flow)
{
	struct search *e = searches_find(&fb->searches, flow);

	if (e != NULL)
		searches_drop(&fb->searches, e);
}

static void
on_found(struct fb *fb, struct agent_view *v, const struct msg_found *found,
    uint64_t now)
{
	struct search *e = searches_find(&fb->searches, &found->flow);
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX];

	if (found->where == FLOW_HERE) {
		hint_set(fb->hints, &found->flow, v->id);
		ctr_inc(fb->ctr, CTR_HINTS);
	}
	if (e == NULL)
		return;
	if (found->where == FLOW_HERE) {
		latency_note(&fb->search, now - e->began_ns);
		event("search_found", "s:s, s:s, s:i, s:i, s:I", "caller",
		    addr_text(addr_unpack(found->flow.caller), caller), "agent",
		    addr_text(addr_unpack(v->id), agent), "asked",
		    (int)e->asked_count, "held", (int)e->held_count, "took_ms",
		    (json_int_t)((now - e->began_ns) / NS_PER_MS));
		for (size_t i = 0; i < e->held_count; i++)
			fb_forward(fb, v,
			    (struct str){e->held[i]->bytes, e->held[i]->len},
			    false);
		searches_drop(&fb->searches, e);
		return;
	}
	search_answer(e, v->id, found->where);
	if (found->where == FLOW_UNSURE && e->held_count > 0)
		send_probe(
		    fb, e, v, (struct str){e->held[0]->bytes, e->held[0]->len});
	go_on(fb, e, now);
}

void
fb_on_found(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, m->from);

	if (v == NULL)
		return;
	for (uint32_t i = 0; i < m->u.find.count; i++)
		on_found(fb, v, &m->u.find.flows[i], now);
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
		go_on(fb, e, now);
	}
}
