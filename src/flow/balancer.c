#include "flow/balancer.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** Heartbeat to balancers of the own failure domain, ms. */
#define GREET_MS 500
/** The same in the first seconds, while it looks for the others, ms. */
#define GREET_YOUNG_MS 150
#define YOUNG_MS 3000
/** Heartbeat to some of the others, ms. */
#define GREET_FAR_MS 1000
/** Others that get a heartbeat in one round. */
#define GREET_FAR_COUNT 3
/** Most balancers that are told of a new version at once. */
#define TELL_MAX 32
/** An opening that no agent has accepted goes to another after this, ms; an
 * agent says sooner that its target is silent. */
#define OFFER_MS 150
/** An agent that let an opening wait gets no new ones for this, ms. */
#define AVOID_MS 1000
/** Agents have all had time for a heartbeat when this has passed beyond the
 * period that the first of them told, ms. */
#define WARM_MORE_MS 150
/** After this an agent that restarted while this balancer did is known, ms. */
#define RETURN_MS 5000
/** A longer gap between ticks means that this process stood still, ms. */
#define GAP_MS 500
/** After it, silence of others proves nothing for this, ms. */
#define REGAIN_MS 1500
/** Balancers of one failure domain that watch the configuration. */
#define WATCHERS 2
/** A balancer not heard for this does not count as a watcher, ms. */
#define WATCHER_LOST_MS 1800
/** Questions a second for each thousandth of a core: with its answer one
 * takes some 20 microseconds, so all of them take a third of it. */
#define ASK_PER_MILLI 16
/** Questions are saved up for this, ms. */
#define ASK_SAVED_MS 1000
/** Openings and searches at one time. */
#define OPENINGS_MAX 4096
#define SEARCHES_MAX 1024

void
fb_init(struct fb *fb, const struct fb_setup *setup, const struct fb_out *out,
    void *ctx, struct counters *ctr, uint64_t now)
{
	*fb = (struct fb){.setup = *setup, .out = out, .ctx = ctx, .ctr = ctr};
	fb->hints = hint_new(setup->hint_capacity);
	fb->openings.capacity = OPENINGS_MAX;
	fb->searches.capacity = SEARCHES_MAX;
	fb->peers.self = setup->id;
	fb->peers.domain_tag = flow_service_tag(str_of(setup->domain));
	fb->began_ns = now;
	fb->ticked_ns = now;
	fb->trusted_ns = now;
	rng_init(&fb->rng, setup->seed);
}

void
fb_clear(struct fb *fb)
{
	hint_free(fb->hints);
	openings_clear(&fb->openings);
	searches_clear(&fb->searches);
	agents_clear(&fb->agents);
	peers_clear(&fb->peers);
	routes_clear(&fb->routes);
}

/* ---- what is believed ---- */

static bool
passed(uint64_t since, uint64_t ms, uint64_t now)
{
	return now >= since + ms * NS_PER_MS;
}

static bool
warm(const struct fb *fb, uint64_t now)
{
	return fb->first_agent_ns != 0 &&
	       passed(
		   fb->first_agent_ns, fb->first_period_ms + WARM_MORE_MS, now);
}

static bool
heard_lately(const struct peer *e, uint64_t now)
{
	return e->direct_ns != 0 && !passed(e->direct_ns, WATCHER_LOST_MS, now);
}

/*
 * Whether a flow that no agent claims is gone for certain: none must be
 * missing here that restarts just now and that another balancer still waits
 * for.
 */
static bool
certain(const struct fb *fb, uint64_t now)
{
	uint64_t digest;
	size_t known = agents_recent(&fb->agents, now, &digest);
	size_t compared = 0;
	struct peer *e, *next;

	if (!warm(fb, now) || now < fb->trusted_ns || known == 0)
		return false;
	if (passed(fb->began_ns, RETURN_MS, now))
		return true;
	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (!heard_lately(e, now))
			continue;
		if (e->agents > known)
			return false;
		compared++;
	}
	return compared > 0;
}

bool
fb_ready(const struct fb *fb, uint64_t now)
{
	return !fb->leaving && fb->routes.version != 0 && warm(fb, now) &&
	       (now < fb->trusted_ns || agents_live(&fb->agents, now) > 0);
}

/* ---- sending ---- */

static struct addr
data_addr(const struct agent_view *v)
{
	struct addr a = addr_unpack(v->id);

	a.port = v->said.data_port;
	return a;
}

static void
forward(struct fb *fb, const struct agent_view *v, struct str bytes, bool probe)
{
	ctr_inc(fb->ctr, CTR_AGENT_OUT);
	fb->out->forward(fb->ctx, data_addr(v), bytes, v->said.service, probe);
}

static void
send(struct fb *fb, uint64_t to, struct flow_msg *m)
{
	m->from = fb->setup.id;
	m->incarnation = fb->setup.incarnation;
	m->sequence = ++fb->sequence;
	fb->out->send(fb->ctx, to, m);
}

static void
greet(struct fb *fb, uint64_t to, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER};

	str_copy(m.u.balancer.domain, sizeof(m.u.balancer.domain),
	    str_of(fb->setup.domain));
	m.u.balancer.version = fb->routes.version;
	m.u.balancer.peers = peers_digest(&fb->peers);
	m.u.balancer.agents =
	    (uint32_t)agents_recent(&fb->agents, now, &m.u.balancer.agent_set);
	m.u.balancer.capacity = fb->setup.capacity;
	m.u.balancer.leaving = fb->leaving;
	send(fb, to, &m);
}

static void
reset(struct fb *fb, const struct flow_key *flow, uint32_t ack,
    enum counter reason)
{
	char caller[ADDR_TEXT_MAX], service[ADDR_TEXT_MAX];

	ctr_inc(fb->ctr, reason);
	event("reset", "s:s, s:s, s:s, s:I", "caller",
	    addr_text(addr_unpack(flow->caller), caller), "service",
	    addr_text(addr_unpack(flow->service), service), "reason",
	    ctr_name(reason), "version", (json_int_t)fb->routes.version);
	fb->out->reset(fb->ctx, flow, ack);
}

/* ---- openings ---- */

static void
offer(struct fb *fb, struct opening *e, struct agent_view *v, uint64_t now)
{
	e->tried[e->tried_count++] = v->id;
	e->offered_ns = now;
	v->placed++;
	ctr_inc(fb->ctr, CTR_PLACED);
	forward(fb, v, (struct str){e->bytes, e->len}, false);
}

static struct agent_view *
choose(struct fb *fb, const struct opening *e, uint32_t service, uint64_t now)
{
	const struct place_ask ask = {.agents = &fb->agents,
	    .service = service,
	    .domain = fb->setup.domain,
	    .tried = e->tried,
	    .tried_count = e->tried_count,
	    .flow = flow_hash(&e->flow),
	    .now = now};

	return e->tried_count == PLACE_TRIES_MAX ? NULL : place_choose(&ask);
}

/* The service chosen first, then the others that the address leads to. */
static struct agent_view *
choose_any(struct fb *fb, const struct opening *e, uint64_t now)
{
	const struct flow_route *route =
	    routes_find(&fb->routes, e->flow.service);
	struct agent_view *v = choose(fb, e, e->service, now);

	if (route == NULL)
		return NULL;
	for (size_t i = 0; v == NULL && i < route->count; i++) {
		if (route->shares[i].weight > 0)
			v = choose(fb, e, route->shares[i].service, now);
	}
	return v;
}

/* Offer an opening to the next agent, or tell the caller that none is left. */
static void
offer_next(struct fb *fb, struct opening *e, uint64_t now)
{
	struct agent_view *v = choose_any(fb, e, now);

	if (v != NULL) {
		offer(fb, e, v, now);
		return;
	}
	if (!warm(fb, now) && e->tried_count == 0)
		return; /* agents are still coming: the tick tries again */
	reset(fb, &e->flow, 0, CTR_REFUSE_NO_TARGET);
	openings_drop(&fb->openings, e);
}

static void
avoid(struct fb *fb, uint64_t agent, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, agent);

	if (v != NULL)
		v->avoid_until_ns = now + AVOID_MS * NS_PER_MS;
}

static void
repeat_opening(struct fb *fb, struct opening *e, uint64_t now)
{
	if (e->tried_count > 0 && !passed(e->offered_ns, OFFER_MS, now))
		return;
	if (e->tried_count > 0) {
		avoid(fb, opening_agent(e), now);
		ctr_inc(fb->ctr, CTR_RETRY_UNANSWERED);
	}
	offer_next(fb, e, now);
}

static void
open_flow(struct fb *fb, const struct flow_packet *p,
    const struct flow_route *route, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &p->flow);
	uint64_t owner = hint_get(fb->hints, &p->flow);
	struct agent_view *v = agents_find(&fb->agents, owner);
	size_t pick = routes_pick(route, flow_hash(&p->flow));

	if (e != NULL) {
		repeat_opening(fb, e, now);
		return;
	}
	if (v != NULL && !agents_silent(v, now)) {
		/* Accepted, but the caller has not heard of it. */
		forward(fb, v, p->bytes, false);
		return;
	}
	if (pick == route->count) {
		reset(fb, &p->flow, p->ack, CTR_REFUSE_NO_TARGET);
		return;
	}
	e = openings_add(&fb->openings, p, route->shares[pick].service, now);
	offer_next(fb, e, now);
}

static void
on_accepted(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &m->u.flow.flow);

	agents_load(&fb->agents, m);
	if (hint_set(fb->hints, &m->u.flow.flow, m->from))
		ctr_inc(fb->ctr, CTR_EVICT_HINT);
	ctr_inc(fb->ctr, CTR_HINTS);
	if (e == NULL)
		return;
	latency_note(&fb->opening, now - e->first_ns);
	openings_drop(&fb->openings, e);
}

static enum counter
refusal_counter(enum flow_refusal r)
{
	switch (r) {
	case FLOW_REFUSED_SERVICE:
		return CTR_RETRY_SERVICE;
	case FLOW_REFUSED_LEAVING:
		return CTR_RETRY_LEAVING;
	case FLOW_REFUSED_SILENT:
		return CTR_RETRY_UNANSWERED;
	case FLOW_REFUSED_FULL:
		break;
	}
	return CTR_RETRY_FULL;
}

static void
on_refused(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &m->u.flow.flow);
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX];

	agents_load(&fb->agents, m);
	if (hint_get(fb->hints, &m->u.flow.flow) == m->from)
		hint_drop(fb->hints, &m->u.flow.flow);
	if (m->u.flow.refusal != FLOW_REFUSED_FULL)
		avoid(fb, m->from, now);
	if (e == NULL || opening_agent(e) != m->from)
		return;
	ctr_inc(fb->ctr, refusal_counter(m->u.flow.refusal));
	event("opening_refused", "s:s, s:s, s:s, s:i", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "agent",
	    addr_text(addr_unpack(m->from), agent), "reason",
	    ctr_name(refusal_counter(m->u.flow.refusal)), "tries",
	    (int)e->tried_count);
	offer_next(fb, e, now);
}

/* ---- searches ---- */

static void
send_questions(struct fb *fb, struct agent_view *v)
{
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .u.find = v->questions};

	v->questions.count = 0;
	send(fb, v->id, &m);
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

static void
earn_credit(struct fb *fb, uint64_t passed_ns)
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

/*
 * Go on with a search, or end it when its outcome is known; packets still
 * held are dropped then.
 */
static void
go_on(struct fb *fb, struct search *e, uint64_t now)
{
	char caller[ADDR_TEXT_MAX];
	enum search_verdict verdict;

	while (search_due(e, now, fb->lag_ms) && may_ask(fb, e))
		ask_next(fb, e, now);
	verdict = search_verdict(e, now, fb->lag_ms);
	if (verdict == SEARCH_NOBODY && !certain(fb, now))
		verdict = search_expired(e, now, fb->lag_ms) ? SEARCH_UNKNOWN
							     : SEARCH_OPEN;
	if (verdict == SEARCH_OPEN)
		return;
	event("search_ended", "s:s, s:s, s:i, s:i, s:b, s:I", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "outcome",
	    verdict == SEARCH_NOBODY ? "nobody" : "unknown", "asked",
	    (int)e->asked_count, "open", (int)e->pending, "complete",
	    (int)e->complete, "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
	if (verdict == SEARCH_NOBODY)
		reset(fb, &e->flow, e->ack, CTR_RESET_GONE);
	else
		ctr_inc(fb->ctr, CTR_SEARCH_UNKNOWN);
	searches_drop(&fb->searches, e);
}

static void
seek(struct fb *fb, const struct flow_packet *p, uint64_t now)
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
			forward(fb, v,
			    (struct str){e->held[i]->bytes, e->held[i]->len},
			    false);
		searches_drop(&fb->searches, e);
		return;
	}
	search_answer(e, v->id, found->where);
	if (found->where == FLOW_UNSURE && e->held_count > 0) {
		ctr_inc(fb->ctr, CTR_SEARCH_PROBES);
		forward(fb, v, (struct str){e->held[0]->bytes, e->held[0]->len},
		    true);
	}
	go_on(fb, e, now);
}

static void
on_found_list(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, m->from);

	if (v == NULL)
		return;
	for (uint32_t i = 0; i < m->u.find.count; i++)
		on_found(fb, v, &m->u.find.flows[i], now);
}

static void
on_away(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct flow_packet p = {.flow = m->u.flow.flow,
	    .ack = m->u.flow.ack,
	    .bytes = m->u.flow.bytes};

	ctr_inc(fb->ctr, CTR_RETRY_AWAY);
	if (hint_get(fb->hints, &p.flow) == m->from)
		hint_drop(fb->hints, &p.flow);
	seek(fb, &p, now);
}

/* ---- callers ---- */

static void
continue_flow(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &p->flow);
	uint64_t owner = hint_get(fb->hints, &p->flow);
	struct agent_view *v;

	if (owner == 0 && e != NULL)
		owner = opening_agent(e);
	v = agents_find(&fb->agents, owner);
	if (v != NULL && !agents_silent(v, now)) {
		ctr_inc(fb->ctr, CTR_HINT_HIT);
		forward(fb, v, p->bytes, false);
		return;
	}
	if ((p->flags & FLOW_RST) != 0)
		return;
	seek(fb, p, now);
}

/*
 * Before the first configuration has come, which may take as long as the
 * platform is away, open flows go on: only a new one needs a route.
 */
static void
without_routes(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	if ((p->flags & FLOW_SYN) != 0)
		ctr_inc(fb->ctr, CTR_DROP_NO_CONFIG);
	else
		continue_flow(fb, p, now);
}

void
fb_caller(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	const struct flow_route *route;

	ctr_inc(fb->ctr, CTR_CALLER_IN);
	if (fb->routes.version == 0) {
		without_routes(fb, p, now);
		return;
	}
	route = routes_find(&fb->routes, p->flow.service);
	if (route == NULL) {
		if ((p->flags & FLOW_RST) == 0)
			reset(fb, &p->flow, p->ack, CTR_REFUSE_NO_ROUTE);
		return;
	}
	if ((p->flags & FLOW_SYN) != 0)
		open_flow(fb, p, route, now);
	else
		continue_flow(fb, p, now);
}

/* ---- members ---- */

static void
send_list(struct fb *fb, uint64_t to, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};

	peers_list(&fb->peers, now, &m.u.peers);
	send(fb, to, &m);
}

static void
send_agents(struct fb *fb, uint64_t to, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};

	agents_list(&fb->agents, now, &m.u.peers);
	if (m.u.peers.count > 0)
		send(fb, to, &m);
}

static void
on_agent(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *before = agents_find(&fb->agents, m->from);
	enum target_state was =
	    before == NULL ? TARGET_UNKNOWN : before->said.state;
	struct agent_view *v = agents_heard(&fb->agents, m, now);
	char agent[ADDR_TEXT_MAX];

	if (v == NULL)
		return;
	if (m->u.agent.gone) {
		event("agent_gone", "s:s", "agent",
		    addr_text(addr_unpack(m->from), agent));
		agents_forget(&fb->agents, m->from);
		return;
	}
	if (fb->first_agent_ns == 0) {
		fb->first_agent_ns = now;
		fb->first_period_ms = v->said.period_ms;
	}
	if (v->said.state != was)
		event("agent", "s:s, s:i, s:i, s:I", "agent",
		    addr_text(addr_unpack(m->from), agent), "state",
		    (int)v->said.state, "was", (int)was, "incarnation",
		    (json_int_t)v->incarnation);
	if (m->u.agent.peers != peers_digest(&fb->peers))
		send_list(fb, m->from, now);
}

static void
on_balancer(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	char peer[ADDR_TEXT_MAX];
	uint64_t digest;

	if (peers_heard(&fb->peers, m->from, &m->u.balancer, now)) {
		event("balancer", "s:s, s:s", "balancer",
		    addr_text(addr_unpack(m->from), peer), "domain",
		    m->u.balancer.domain);
		greet(fb, m->from, now);
	}
	if (m->u.balancer.peers != peers_digest(&fb->peers))
		send_list(fb, m->from, now);
	agents_recent(&fb->agents, now, &digest);
	if (m->u.balancer.agent_set != digest)
		send_agents(fb, m->from, now);
}

/* Agents that another balancer hears are asked to tell this one too. */
static void
on_agents(struct fb *fb, const struct msg_peers *list, uint64_t now)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (agents_find(&fb->agents, list->peers[i].id) == NULL)
			greet(fb, list->peers[i].id, now);
	}
}

static void
on_peers(struct fb *fb, const struct msg_peers *list, uint64_t now)
{
	if (list->agents) {
		on_agents(fb, list, now);
		return;
	}
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age > now || age > PEER_FORGET_MS * NS_PER_MS)
			continue;
		if (peers_note(&fb->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			greet(fb, list->peers[i].id, now);
	}
}

void
fb_message(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	switch (m->kind) {
	case FLOW_MSG_AGENT:
		on_agent(fb, m, now);
		return;
	case FLOW_MSG_BALANCER:
		on_balancer(fb, m, now);
		return;
	case FLOW_MSG_PEERS:
		on_peers(fb, &m->u.peers, now);
		return;
	case FLOW_MSG_FOUND:
		on_found_list(fb, m, now);
		return;
	case FLOW_MSG_ACCEPTED:
		on_accepted(fb, m, now);
		return;
	case FLOW_MSG_REFUSED:
		on_refused(fb, m, now);
		return;
	case FLOW_MSG_AWAY:
		on_away(fb, m, now);
		return;
	case FLOW_MSG_FIND:
		break;
	}
	ctr_inc(fb->ctr, CTR_DROP_KIND);
}

/* ---- configuration ---- */

static void
tell_peers(struct fb *fb, uint64_t now)
{
	size_t known = peers_count(&fb->peers);
	size_t step = known / TELL_MAX + 1;
	size_t at = (size_t)rng_below(&fb->rng, step);
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (at++ % step == 0)
			greet(fb, e->id, now);
	}
}

bool
fb_routes(struct fb *fb, struct routes *next, uint64_t now)
{
	if (next->version <= fb->routes.version) {
		ctr_inc(fb->ctr, CTR_CONFIG_STALE);
		routes_clear(next);
		return false;
	}
	event("configuration", "s:I, s:I, s:i", "version",
	    (json_int_t)next->version, "before", (json_int_t)fb->routes.version,
	    "routes", (int)HASH_COUNT(next->table));
	routes_clear(&fb->routes);
	fb->routes = *next;
	*next = (struct routes){0};
	ctr_inc(fb->ctr, CTR_CONFIG_APPLIED);
	tell_peers(fb, now);
	return true;
}

/* The larger ones watch, since the platform's text takes time to read. */
static bool
watches_before(const struct peer *e, const struct fb_setup *self)
{
	if (e->capacity != self->capacity)
		return e->capacity > self->capacity;
	return e->id < self->id;
}

bool
fb_watches(const struct fb *fb, uint64_t now)
{
	unsigned before = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (heard_lately(e, now) && !e->leaving &&
		    strcmp(e->domain, fb->setup.domain) == 0 &&
		    watches_before(e, &fb->setup))
			before++;
	}
	return before < WATCHERS;
}

uint64_t
fb_newer_peer(const struct fb *fb, uint64_t now)
{
	uint64_t version = fb->routes.version;
	uint64_t found = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->version <= version || !heard_lately(e, now))
			continue;
		version = e->version;
		found = e->id;
	}
	return found;
}

/* ---- members by the store ---- */

void
fb_meet(struct fb *fb, uint64_t id, uint64_t now)
{
	/* An entry may be of a dead balancer: only its answer makes it known.
	 */
	if (id != fb->setup.id && peers_find(&fb->peers, id) == NULL)
		greet(fb, id, now);
}

bool
fb_gone(const struct fb *fb, uint64_t id, uint64_t now)
{
	/* Peers are forgotten by peers_expire() after long silence. */
	return id != fb->setup.id && now >= fb->trusted_ns &&
	       peers_find(&fb->peers, id) == NULL;
}

bool
fb_first(const struct fb *fb)
{
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->id < fb->setup.id)
			return false;
	}
	return true;
}

/* ---- time ---- */

static void
greet_seeds(struct fb *fb, uint64_t now)
{
	for (size_t i = 0; i < fb->setup.seed_count; i++) {
		if (fb->setup.seeds[i] != fb->setup.id &&
		    peers_find(&fb->peers, fb->setup.seeds[i]) == NULL)
			greet(fb, fb->setup.seeds[i], now);
	}
}

static void
greet_near(struct fb *fb, uint64_t now)
{
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->direct_ns == 0 ||
		    strcmp(e->domain, fb->setup.domain) == 0)
			greet(fb, e->id, now);
	}
}

static void
greet_far(struct fb *fb, uint64_t now)
{
	uint64_t known = peers_count(&fb->peers);
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (rng_below(&fb->rng, known) < GREET_FAR_COUNT)
			greet(fb, e->id, now);
	}
}

static void
tick_openings(struct fb *fb, uint64_t now)
{
	struct opening *e, *next;

	ctr_add(fb->ctr, CTR_DROP_OPENING, openings_expire(&fb->openings, now));
	HASH_ITER(hh, fb->openings.table, e, next)
	{
		if (e->tried_count == 0)
			offer_next(fb, e, now);
	}
}

static void
tick_searches(struct fb *fb, uint64_t now)
{
	struct search *e, *next;

	HASH_ITER(hh, fb->searches.table, e, next)
	{
		go_on(fb, e, now);
	}
}

/* How late ticks come; halves with each tick that is on time. */
static void
note_lag(struct fb *fb, uint64_t now)
{
	uint64_t gap_ms = (now - fb->ticked_ns) / NS_PER_MS;
	uint64_t late_ms = gap_ms > FB_TICK_MS ? gap_ms - FB_TICK_MS : 0;

	fb->lag_ms = late_ms > fb->lag_ms / 2 ? late_ms : fb->lag_ms / 2;
}

void
fb_paused(struct fb *fb, uint64_t gap_ms, uint64_t now)
{
	ctr_inc(fb->ctr, CTR_PAUSES);
	event("paused", "s:I", "gap_ms", (json_int_t)gap_ms);
	fb->trusted_ns = now + REGAIN_MS * NS_PER_MS;
}

void
fb_tick(struct fb *fb, uint64_t now)
{
	note_lag(fb, now);
	earn_credit(fb, now - fb->ticked_ns);
	if (passed(fb->ticked_ns, GAP_MS, now))
		fb_paused(fb, (now - fb->ticked_ns) / NS_PER_MS, now);
	fb->ticked_ns = now;
	tick_openings(fb, now);
	tick_searches(fb, now);
	if (passed(fb->greeted_ns,
		passed(fb->began_ns, YOUNG_MS, now) ? GREET_MS : GREET_YOUNG_MS,
		now)) {
		fb->greeted_ns = now;
		greet_seeds(fb, now);
		greet_near(fb, now);
		peers_expire(&fb->peers, now);
		agents_expire(&fb->agents, now);
	}
	if (passed(fb->greeted_far_ns, GREET_FAR_MS, now)) {
		fb->greeted_far_ns = now;
		greet_far(fb, now);
	}
}

void
fb_leave(struct fb *fb, uint64_t now)
{
	fb->leaving = true;
	tell_peers(fb, now);
}
