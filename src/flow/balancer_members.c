#include "flow/balancer_parts.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** Heartbeat to balancers of the own failure domain, ms. */
#define GREET_MS 500
/** The same in the first seconds, while it looks for the others, ms. */
#define GREET_YOUNG_MS 150
#define YOUNG_MS 3000
/** Of them that get it in one round, in turn: each hears it within a
 * fraction of WATCHER_LOST_MS in a domain of 48, and at more it is bounded. One
 * that watches the configuration greets all: who must not watch learns it so.
 */
#define GREET_NEAR_MOST 16
/** Heartbeat to some of the others, ms. */
#define GREET_FAR_MS 1000
/** Others that get a heartbeat in one round: a twelfth, so that each gets one
 * in a fraction of PEER_FORGET_MS, and no fewer and no more than this. */
#define GREET_FAR_SHARE 12
#define GREET_FAR_LEAST 3
#define GREET_FAR_MOST 24
/** Most balancers that are told of a new version at once. */
#define TELL_MAX 32
/** A longer gap between ticks means that this process stood still, ms. */
#define GAP_MS 500
/** After it, silence of others proves nothing for this, ms. */
#define REGAIN_MS 1500
/** A balancer with less than this share of a core is small, thousandths: the
 * platform's text costs it much of its time. */
#define SMALL_MILLI 50
/** It waits for this that another passes the routes on, ms. */
#define PATIENT_MS 300
/** Parts of the list of agents that one balancer gets at a time; it gets the
 * next ones as long as its greetings show that it needs them. */
#define AGENT_PARTS 4
/** In its first time a balancer asks others for their agents, ms: those speak
 * to it themselves, but seldom. */
#define LEARN_MS 10000
/** Balancers of one failure domain that watch the configuration. */
#define WATCHERS 2

/* Parts of a list of so many. */
static size_t
parts_of(size_t count)
{
	return count / FLOW_PEERS_MAX + 1;
}

/* Balancers get it whole: agents, who are more, learn the rest from them. */
static void
send_list(struct fb *fb, uint64_t to, struct gossip_sent *told, bool to_agent,
    uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};
	enum gossip_extent share =
	    gossip_reserve(&fb->gossip, told, peers_digest(&fb->peers),
		parts_of(peers_count(&fb->peers)), to_agent, now);
	size_t from = 0;

	if (share == GOSSIP_NONE) {
		ctr_inc(fb->ctr, CTR_CONTROL_CUT);
		return;
	}
	if (share == GOSSIP_SAMPLE) {
		peers_sample(
		    &fb->peers, GOSSIP_SAMPLE_MAX, &fb->rng, now, &m.u.peers);
		fb_send(fb, to, &m);
		ctr_inc(fb->ctr, CTR_LISTS);
		return;
	}
	do {
		from = peers_list(&fb->peers, from, now, &m.u.peers);
		fb_send(fb, to, &m);
		ctr_inc(fb->ctr, CTR_LISTS);
	} while (from != 0);
}

/* What the other knows is all that there is. */
static void
confirm_list(struct fb *fb, uint64_t to)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .u.peers.same = true};

	fb_send(fb, to, &m);
}

/* Part of the list of all agents, or of the near ones. */
static void
send_agents(struct fb *fb, struct peer *e, bool near, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};
	const struct agent_summary *set =
	    near ? &fb->recent.local : &fb->recent.all;
	size_t parts = parts_of(set->count);

	if (parts > AGENT_PARTS)
		parts = AGENT_PARTS;
	if (set->count == 0)
		return;
	if (gossip_reserve(&fb->gossip, &e->sent_agents, set->digest, parts,
		false, now) != GOSSIP_WHOLE) {
		ctr_inc(fb->ctr, CTR_CONTROL_CUT);
		return;
	}
	for (size_t i = 0; i < parts; i++) {
		e->next_agent =
		    agents_list(&fb->agents, near ? fb->peers.domain_tag : 0,
			e->next_agent, now, &m.u.peers);
		fb_send(fb, e->id, &m);
		ctr_inc(fb->ctr, CTR_LISTS);
		if (e->next_agent == 0)
			return;
	}
}

static bool
answers(struct fb *fb, bool near)
{
	return gossip_should_answer(&fb->rng,
	    near ? peers_count_local(&fb->peers) : peers_count(&fb->peers));
}

void
fb_on_agent(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *before = agents_find(&fb->agents, m->from);
	enum target_state was =
	    before == NULL ? TARGET_UNKNOWN : before->heartbeat.state;
	bool was_lost = before != NULL && agent_is_silent(before, now);
	struct agent_view *v = agents_on_heartbeat(&fb->agents, m, now);
	char agent[ADDR_TEXT_MAX];

	if (v == NULL)
		return;
	if (before == NULL || was_lost)
		fb->recent.at_ns = 0;
	if (m->u.agent.gone) {
		event("agent_gone", "s:s", "agent",
		    addr_text(addr_unpack(m->from), agent));
		agents_remove(&fb->agents, m->from);
		reported_agents_on_gone(&fb->reported_agents, m->from, now);
		fb->recent.at_ns = 0;
		return;
	}
	reported_agents_on_heartbeat(&fb->reported_agents, m->from);
	if (fb->first_agent_ns == 0)
		fb->first_agent_ns = now;
	/* Those of other failure domains speak more seldom; near balancers
	 * tell of them. */
	if (fb->least_period_ms == 0 ||
	    v->heartbeat.period_ms < fb->least_period_ms)
		fb->least_period_ms = v->heartbeat.period_ms;
	if (v->heartbeat.state != was)
		event("agent", "s:s, s:i, s:i, s:I", "agent",
		    addr_text(addr_unpack(m->from), agent), "state",
		    (int)v->heartbeat.state, "was", (int)was, "incarnation",
		    (json_int_t)v->incarnation);
	if (!m->u.agent.ask)
		return;
	if (m->u.agent.peers == peers_digest(&fb->peers))
		confirm_list(fb, m->from);
	else
		send_list(fb, m->from, &v->sent_peers, true, now);
}

bool
fb_wants_list(struct fb *fb, uint64_t from, uint64_t now)
{
	const struct peer *e = peers_find(&fb->peers, from);
	const struct delegate_group *g;
	uint64_t digest;

	if (e == NULL || peers_is_local(&fb->peers, e) ||
	    fb_passed(fb->began_ns, LEARN_MS, now) || !fb_near_scope(fb, now))
		return false;
	g = delegates_find(fb_delegates(fb, now), e->domain_tag);
	if (delegates_pick(g, fb->setup.id, 0) != from)
		return false;
	agents_count_recent(&fb->agents, e->domain_tag, now, &digest);
	return digest != e->local.digest;
}

/* Where another hears other agents it is told of those that are heard here. */
static void
compare_agents(
    struct fb *fb, struct peer *e, const struct msg_balancer *b, uint64_t now)
{
	bool near = peers_is_local(&fb->peers, e);
	bool all, some;

	fb_count_agents(fb, now);
	if (near && e->local.digest == fb->recent.local.digest)
		peers_mark_received(e, &e->local);
	if (e->all.digest == fb->recent.all.digest)
		peers_mark_received(e, &e->all);
	all = b->whole && e->all.digest != fb->recent.all.digest &&
	      answers(fb, false);
	some = b->ask || (!b->whole && near &&
			     e->local.digest != fb->recent.local.digest &&
			     answers(fb, true));
	if (all || some)
		send_agents(fb, e, !all, now);
}

void
fb_on_balancer(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	char peer[ADDR_TEXT_MAX];
	bool is_new =
	    peers_on_heartbeat(&fb->peers, m->from, &m->u.balancer, now);
	struct peer *e = peers_find(&fb->peers, m->from);

	if (e == NULL)
		return;
	if (is_new) {
		event("balancer", "s:s, s:s", "balancer",
		    addr_text(addr_unpack(m->from), peer), "domain",
		    m->u.balancer.domain);
		fb_greet(fb, m->from, now);
	}
	if (m->u.balancer.peers != peers_digest(&fb->peers) &&
	    answers(fb, false))
		send_list(fb, m->from, &e->sent_peers, false, now);
	compare_agents(fb, e, &m->u.balancer, now);
}

static void
note_mention(struct fb *fb, uint64_t by, const struct msg_peer *p, uint64_t now)
{
	char agent[ADDR_TEXT_MAX], balancer[ADDR_TEXT_MAX];

	if (reported_agents_add(&fb->reported_agents, p->id, p->domain,
		now - p->age_ms * NS_PER_MS, now))
		event("agent_mentioned", "s:s, s:s, s:i", "agent",
		    addr_text(addr_unpack(p->id), agent), "by",
		    addr_text(addr_unpack(by), balancer), "age_ms",
		    (int)p->age_ms);
}

/* Agents that another balancer hears are asked to tell this one too. */
static void
on_agents(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct msg_peers *list = &m->u.peers;
	struct peer *from = peers_find(&fb->peers, m->from);
	/* Whether a flow is there those say who ask them, its delegates. */
	bool far =
	    list->near && from != NULL && !peers_is_local(&fb->peers, from);

	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;
		const struct agent_view *v =
		    agents_find(&fb->agents, list->peers[i].id);

		if ((v != NULL && !agent_is_silent(v, now)) || age > now)
			continue;
		if (!far)
			note_mention(fb, m->from, &list->peers[i], now);
		fb_greet(fb, list->peers[i].id, now);
	}
	/* The last part of a list has room left. */
	if (from == NULL || list->count == FLOW_PEERS_MAX)
		return;
	peers_mark_received(from, &from->local);
	if (!list->near)
		peers_mark_received(from, &from->all);
}

void
fb_on_peers(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct msg_peers *list = &m->u.peers;

	if (list->agents) {
		on_agents(fb, m, now);
		return;
	}
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age > now || age > peers_forget_ms(&fb->peers) * NS_PER_MS)
			continue;
		if (peers_record(&fb->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			fb_greet(fb, list->peers[i].id, now);
	}
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
			fb_greet(fb, e->id, now);
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
		if (fb_heard_lately(e, now) && !e->leaving &&
		    strcmp(e->domain, fb->setup.domain) == 0 &&
		    watches_before(e, &fb->setup))
			before++;
	}
	return before < WATCHERS;
}

bool
fb_asks_store(const struct fb *fb, uint64_t now)
{
	if (fb->leaving)
		return false;
	if (fb->routes.version != 0)
		return fb_watches(fb, now);
	/* A small one looks first whether another passes the routes on. */
	return fb->setup.capacity >= SMALL_MILLI ||
	       fb_passed(fb->began_ns, PATIENT_MS, now);
}

uint64_t
fb_newer_peer(const struct fb *fb, uint64_t now)
{
	uint64_t version = fb->routes.version;
	uint64_t found = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->version <= version || !fb_heard_lately(e, now))
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
		fb_greet(fb, id, now);
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
			fb_greet(fb, fb->setup.seeds[i], now);
	}
}

/* Greet some of the balancers of the own failure domain, or of the others. */
static void
greet_some(struct fb *fb, bool near, struct round_robin *round_robin,
    size_t most, uint64_t now)
{
	size_t many = peers_count_local(&fb->peers);
	struct round_robin_batch round = round_robin_next(
	    round_robin, near ? many : peers_count(&fb->peers) - many, most);
	size_t place = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (peers_is_local(&fb->peers, e) == near &&
		    round_robin_includes(&round, place++))
			fb_greet(fb, e->id, now);
	}
}

static void
greet_near(struct fb *fb, uint64_t now)
{
	greet_some(fb, true, &fb->near_turn,
	    fb_watches(fb, now) ? SIZE_MAX : GREET_NEAR_MOST, now);
}

static void
greet_far(struct fb *fb, uint64_t now)
{
	size_t far = peers_count(&fb->peers) - peers_count_local(&fb->peers);
	size_t most = far / GREET_FAR_SHARE;

	/* What a young one says of the agents it hears is soon out of date. */
	if (!fb_passed(fb->began_ns, YOUNG_MS, now))
		most = GREET_NEAR_MOST;
	if (most < GREET_FAR_LEAST)
		most = GREET_FAR_LEAST;
	if (most > GREET_FAR_MOST)
		most = GREET_FAR_MOST;
	greet_some(fb, false, &fb->far_turn, most, now);
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
	fb_earn_credit(fb, now - fb->ticked_ns);
	gossip_refill(&fb->gossip, now - fb->ticked_ns);
	if (fb_passed(fb->ticked_ns, GAP_MS, now))
		fb_paused(fb, (now - fb->ticked_ns) / NS_PER_MS, now);
	fb->ticked_ns = now;
	fb_tick_certain(fb, now);
	fb_tick_openings(fb, now);
	fb_tick_searches(fb, now);
	/* Those that start now too: the sooner they meet, the sooner callers
	 * are served. */
	if (!fb_passed(fb->began_ns, YOUNG_MS, now))
		greet_seeds(fb, now);
	if (fb_passed(fb->greeted_ns,
		fb_passed(fb->began_ns, YOUNG_MS, now) ? GREET_MS
						       : GREET_YOUNG_MS,
		now)) {
		fb->greeted_ns = now;
		greet_seeds(fb, now);
		greet_near(fb, now);
		peers_expire(&fb->peers, now);
		agents_expire(&fb->agents, now);
	}
	if (fb_passed(fb->greeted_far_ns,
		fb_passed(fb->began_ns, YOUNG_MS, now) ? GREET_FAR_MS
						       : GREET_YOUNG_MS,
		now)) {
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
