#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>
#include <xxhash.h>

/** Most balancers that are notified at once of a new version. */
#define NOTIFY_MAX 32
/** A balancer with less capacity than this, in thousandths of a core, is small:
 * decoding the platform's configuration takes much of its processor time. */
#define SMALL_CAPACITY_MILLI 50
/** Time that a small balancer waits for another one to pass the routes on,
 * before it queries the store, in ms. */
#define STORE_DELAY_MS 300
/** Number of balancers of each failure domain that watch the configuration. */
#define CONFIG_WATCHERS 2
/** A balancer whose heartbeat said that the store answers its watch counts as a
 * working watcher for this time in ms: it sends one every 0.5 to 1 s, and one
 * of them may be lost. */
#define WATCHER_FRESH_MS 1600
/** Longest delay in ms, and delay for each balancer of the failure domain, over
 * which the standby watchers begin: when the first ones are answered and say
 * so, the others need not begin. It is part of the 3 s within which a version
 * must be in force. */
#define STANDBY_SPREAD_MAX_MS 400
#define STANDBY_SPREAD_PER_PEER_MS 10
/** Time in ms until a standby watcher whose call failed tries again, and the
 * range of a random addition. A balancer that reaches the store again is bound
 * by the 3 s for a version only 4 s later, so 7 s are left in all. It limits
 * the calls while the store answers nobody. */
#define STANDBY_RETRY_MS 3000
#define STANDBY_RETRY_RANGE_MS 1000
/** A balancer that is no longer one of the first two watches on until two
 * others are answered, but only this long after its start, in ms: before, each
 * one believes to be the first. */
#define STARTING_MS 3000
/** Number of agents of each failure domain, about, that keep a copy of the
 * routes: a balancer that starts while the store is away and no other balancer
 * runs reads them there. */
#define COPIES_PER_DOMAIN 8
/** Shortest interval in which an agent is told of newer routes, in ms. */
#define OFFER_INTERVAL_MS 1000
/** Interval and number of the rounds in which agents are told of a change, in
 * ms: a message may be lost, and the users' bound for evacuations is 5 s. */
#define TOLD_ROUND_MS 700
#define TOLD_ROUNDS 5
/** Outdated heartbeats of an agent that are counted: one of an earlier release
 * never states what it knows, and only so many balancers are to tell it. */
#define OUTDATED_MAX 8
/** Outdated heartbeats after which an agent that knows other balancers than
 * this one is told out of turn: the balancers whose turn it is may not know it.
 */
#define OUTDATED_APART 2
/** Shortest interval in which a balancer is told of newer evacuations, in ms.
 */
#define EVACUATION_PEER_INTERVAL_MS 500

void
fb_notify_peers(struct fb *fb, uint64_t now)
{
	size_t known = peers_count(&fb->peers);
	size_t step = known / NOTIFY_MAX + 1;
	size_t at = (size_t)rng_below(&fb->rng, step);
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (at++ % step == 0)
			fb_send_heartbeat(fb, e->id, now);
	}
}

/* What agents were told is outdated now. */
static void
forget_told(struct fb *fb)
{
	struct agent_view *v, *next;

	HASH_ITER(hh, fb->agents.table, v, next)
	{
		v->outdated = 0;
		v->told = 0;
	}
}

/* Tell the agents at the next ticks. */
static void
begin_rounds(struct fb *fb)
{
	fb->told_rounds = TOLD_ROUNDS;
	fb->told_ns = 0;
}

bool
fb_apply_routes(struct fb *fb, struct routes *next, uint64_t now)
{
	if (next->version <= fb->routes.version) {
		ctr_inc(fb->ctr, CTR_CONFIG_STALE);
		routes_clear(next);
		return false;
	}
	event("configuration", "s:I, s:I, s:i", "version",
	    (json_int_t)next->version, "previous_version",
	    (json_int_t)fb->routes.version, "routes",
	    (int)HASH_COUNT(next->table));
	if (fb->setup.cold_limits && !routes_same_limits(&fb->routes, next)) {
		fb->limits_since = next->version;
		forget_told(fb);
		begin_rounds(fb);
	}
	routes_clear(&fb->routes);
	fb->routes = *next;
	*next = (struct routes){0};
	ctr_inc(fb->ctr, CTR_CONFIG_APPLIED);
	fb_notify_peers(fb, now);
	return true;
}

/* Balancers with more capacity come first, since decoding the platform's
 * configuration takes processor time. */
static bool
is_preferred_watcher(const struct peer *e, const struct fb_setup *self)
{
	if (e->capacity != self->capacity)
		return e->capacity > self->capacity;
	return e->id < self->id;
}

/* Whether this balancer is one of the first CONFIG_WATCHERS live ones of its
 * failure domain, whatever their watches do. */
static bool
is_first(const struct fb *fb, uint64_t now)
{
	unsigned before = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (fb_is_peer_live(e, now) && !e->leaving &&
		    strcmp(e->domain, fb->setup.domain) == 0 &&
		    is_preferred_watcher(e, &fb->setup))
			before++;
	}
	return before < CONFIG_WATCHERS;
}

bool
fb_is_config_watcher(const struct fb *fb, uint64_t now)
{
	return fb->watch.standby || is_first(fb, now);
}

bool
fb_announces_watch(const struct fb *fb, uint64_t now)
{
	return fb->watch.ok || is_first(fb, now);
}

/** Other balancers of the failure domain whose watches are answered. */
struct working_watchers {
	unsigned all;
	unsigned preferred; /**< those that come before this balancer */
};

static struct working_watchers
count_working_watchers(const struct fb *fb, uint64_t now)
{
	struct working_watchers n = {0};
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (!e->watch_ok || e->leaving ||
		    fb_has_elapsed(
			e->last_heartbeat_ns, WATCHER_FRESH_MS, now) ||
		    strcmp(e->domain, fb->setup.domain) != 0)
			continue;
		n.all++;
		if (is_preferred_watcher(e, &fb->setup))
			n.preferred++;
	}
	return n;
}

/* Returns whether it has changed. */
static bool
set_watch_ok(struct fb *fb, bool ok)
{
	if (fb->watch.ok == ok)
		return false;
	fb->watch.ok = ok;
	event("watch_state", "s:b, s:b", "ok", (int)ok, "standby",
	    (int)fb->watch.standby);
	return true;
}

void
fb_set_watch_ok(struct fb *fb, bool ok, uint64_t now)
{
	struct config_watch *w = &fb->watch;

	coverage_on_watch(&fb->coverage, ok, now);
	if (!ok && w->standby) {
		w->standby = false;
		w->begin_ns =
		    now + (STANDBY_RETRY_MS +
			      rng_below(&fb->rng, STANDBY_RETRY_RANGE_MS)) *
			      NS_PER_MS;
	}
	if (set_watch_ok(fb, ok && fb_is_config_watcher(fb, now)))
		fb_notify_local_peers(fb, now);
}

static uint64_t
standby_delay_ns(struct fb *fb)
{
	uint64_t ms =
	    STANDBY_SPREAD_PER_PEER_MS * peers_count_local(&fb->peers);

	if (ms > STANDBY_SPREAD_MAX_MS)
		ms = STANDBY_SPREAD_MAX_MS;
	return rng_below(&fb->rng, ms + 1) * NS_PER_MS;
}

/* Missing heartbeats mean nothing after a pause of this process, nor before a
 * working watcher has had time to send one. */
static bool
lacks_watcher(const struct fb *fb, uint64_t now)
{
	return now >= fb->silence_valid_ns &&
	       (fb->watch.known ||
		   fb_has_elapsed(fb->started_ns, WATCHER_FRESH_MS, now));
}

static void
consider_standby(struct fb *fb, uint64_t now)
{
	struct config_watch *w = &fb->watch;

	if (!lacks_watcher(fb, now)) {
		w->begin_ns = 0;
		return;
	}
	if (w->begin_ns == 0)
		w->begin_ns = now + standby_delay_ns(fb);
	if (now < w->begin_ns)
		return;
	w->begin_ns = 0;
	w->standby = true;
	ctr_inc(fb->ctr, CTR_WATCH_STANDBYS);
	event(
	    "watch_standby", "s:I", "version", (json_int_t)fb->routes.version);
}

void
fb_tick_watch(struct fb *fb, uint64_t now)
{
	struct config_watch *w = &fb->watch;
	struct working_watchers n = count_working_watchers(fb, now);

	w->known |= n.all > 0;
	if (fb->leaving || fb->routes.version == 0 || is_first(fb, now)) {
		w->standby = false;
		w->begin_ns = 0;
		return;
	}
	/* It was one of the first until now. */
	if (w->ok && fb_has_elapsed(fb->started_ns, STARTING_MS, now))
		w->standby = true;
	if (w->standby && (w->ok ? n.preferred >= CONFIG_WATCHERS : n.all > 0))
		w->standby = false;
	if (w->standby)
		return;
	/* Not urgent for others: two of them are answered. */
	set_watch_ok(fb, false);
	if (n.all > 0)
		w->begin_ns = 0;
	else
		consider_standby(fb, now);
}

bool
fb_should_query_store(const struct fb *fb, uint64_t now)
{
	if (fb->leaving)
		return false;
	if (fb->routes.version != 0)
		return fb_is_config_watcher(fb, now);
	/* A small balancer first waits for another one to pass the routes on.
	 */
	return fb->setup.capacity >= SMALL_CAPACITY_MILLI ||
	       fb_has_elapsed(fb->started_ns, STORE_DELAY_MS, now);
}

static uint64_t
newest_peer(const struct fb *fb, uint64_t *version, uint64_t now)
{
	uint64_t found = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->version <= *version || !fb_is_peer_live(e, now))
			continue;
		*version = e->version;
		found = e->id;
	}
	return found;
}

uint64_t
fb_newer_source(const struct fb *fb, uint64_t now)
{
	uint64_t version = fb->routes.version;
	uint64_t peer = newest_peer(fb, &version, now);
	const struct agent_view *v =
	    agents_find(&fb->agents, fb->newest_copy.agent);

	if (v != NULL && v->heartbeat.version > version &&
	    !agent_is_silent(v, now))
		return v->id;
	return peer;
}

/* ---- copies at agents ---- */

/* Remember the agent that last reported the newest copy: the others may have
 * stopped since. */
static void
record_copy(struct fb *fb, const struct agent_view *v, uint64_t now)
{
	struct routes_copy *c = &fb->newest_copy;
	const struct agent_view *holder = agents_find(&fb->agents, c->agent);

	if (holder != NULL && !agent_is_silent(holder, now) &&
	    holder->heartbeat.version > v->heartbeat.version)
		return;
	*c = (struct routes_copy){v->id, v->heartbeat.version};
}

/* The balancers of a failure domain agree on the agents that keep a copy, as
 * far as they know the same ones. */
static bool
keeps_copy(struct fb *fb, const struct agent_view *v, uint64_t now)
{
	uint32_t count;

	if (v->domain_tag != fb->peers.domain_tag)
		return false;
	fb_update_recent(fb, now);
	count = fb->recent.local.count;
	return count <= COPIES_PER_DOMAIN ||
	       XXH3_64bits(&v->id, sizeof(v->id)) % count < COPIES_PER_DOMAIN;
}

void
fb_offer_routes(struct fb *fb, struct agent_view *v, uint64_t now)
{
	record_copy(fb, v, now);
	if (v->heartbeat.version >= fb->routes.version ||
	    !fb_has_elapsed(v->offered_ns, OFFER_INTERVAL_MS, now) ||
	    !keeps_copy(fb, v, now) || !fb_announces_watch(fb, now))
		return;
	v->offered_ns = now;
	fb_send_heartbeat(fb, v->id, now);
}

/* ---- evacuations ---- */

struct evacuation_slots
fb_count_slots(const struct fb *fb, uint64_t now)
{
	struct evacuation_slots s = {0};
	struct agent_view *v, *next;

	HASH_ITER(hh, fb->agents.table, v, next)
	{
		if (v->heartbeat.state != TARGET_READY ||
		    agent_is_silent(v, now))
			continue;
		if (evacuation_contains(&fb->evacuation, v->domain_tag))
			s.evacuated += v->heartbeat.slots;
		else
			s.left += v->heartbeat.slots;
	}
	return s;
}

/* Log for each service how many slots are left to it. */
static void
log_services(const struct fb *fb, uint64_t now)
{
	struct agent_group *g, *next;

	HASH_ITER(hh, fb->agents.groups, g, next)
	{
		uint32_t left = 0, evacuated = 0;
		char agent[ADDR_TEXT_MAX];

		for (size_t i = 0; i < g->count; i++) {
			const struct agent_view *v = g->members[i];

			if (v->heartbeat.state != TARGET_READY ||
			    agent_is_silent(v, now))
				continue;
			if (evacuation_contains(&fb->evacuation, v->domain_tag))
				evacuated += v->heartbeat.slots;
			else
				left += v->heartbeat.slots;
		}
		if (evacuated > 0)
			event("evacuation_service", "s:I, s:s, s:i, s:i",
			    "service_tag", (json_int_t)g->service, "agent",
			    addr_text(addr_unpack(g->members[0]->id), agent),
			    "slots_left", (int)left, "slots_evacuated",
			    (int)evacuated);
	}
}

static void
on_evacuation_change(
    struct fb *fb, enum evacuation_change change, uint64_t from, uint64_t now)
{
	struct evacuation_slots slots;
	char source[ADDR_TEXT_MAX];

	if (change == EVACUATION_UNCHANGED)
		return;
	forget_told(fb);
	/* A higher revision of the same set spreads with the usual heartbeats:
	 * each balancer that starts may read one. */
	if (change == EVACUATION_REVISION)
		return;
	begin_rounds(fb);
	fb_notify_peers(fb, now);
	if (change == EVACUATION_REASSERTED)
		return;
	ctr_inc(fb->ctr, CTR_EVACUATIONS_APPLIED);
	slots = fb_count_slots(fb, now);
	event("evacuation", "s:I, s:i, s:b, s:i, s:i, s:s", "revision",
	    (json_int_t)fb->evacuation.revision, "domains",
	    (int)fb->evacuation.count, "own_domain",
	    (int)evacuation_contains(&fb->evacuation, fb->peers.domain_tag),
	    "slots_left", (int)slots.left, "slots_evacuated",
	    (int)slots.evacuated, "source",
	    from == 0 ? "store" : addr_text(addr_unpack(from), source));
	if (fb->evacuation.count > 0)
		log_services(fb, now);
}

void
fb_apply_evacuations(struct fb *fb, uint64_t revision, const uint32_t *tags,
    uint32_t count, uint64_t now)
{
	if (fb->setup.evacuation_ms == 0 || count > FLOW_EVACUATED_MAX)
		return;
	on_evacuation_change(fb,
	    evacuation_read(&fb->evacuation, revision, tags, count), 0, now);
}

void
fb_merge_evacuations(
    struct fb *fb, struct peer *e, const struct msg_balancer *b, uint64_t now)
{
	if (fb->setup.evacuation_ms == 0)
		return;
	on_evacuation_change(fb,
	    evacuation_merge(&fb->evacuation, b->evacuation, b->evacuated,
		b->evacuated_count),
	    e->id, now);
	if (b->evacuation >= fb->evacuation.revision ||
	    evacuation_is_set(
		&fb->evacuation, b->evacuated, b->evacuated_count) ||
	    !fb_has_elapsed(
		e->evacuation_told_ns, EVACUATION_PEER_INTERVAL_MS, now) ||
	    !evacuation_take(&fb->evacuation_budget, now))
		return;
	e->evacuation_told_ns = now;
	ctr_inc(fb->ctr, CTR_EVACUATIONS_TOLD);
	fb_send_heartbeat(fb, e->id, now);
}

bool
fb_should_watch_evacuations(const struct fb *fb, uint64_t now)
{
	if (fb->setup.evacuation_ms == 0 || fb->leaving)
		return false;
	return fb->evacuation.revision == 0 || fb_is_config_watcher(fb, now);
}

/* ---- what agents are told ---- */

static bool
is_outdated(const struct fb *fb, const struct agent_view *v)
{
	return (fb->setup.evacuation_ms != 0 &&
		   v->heartbeat.evacuation < fb->evacuation.revision) ||
	       (fb->setup.cold_limits &&
		   v->heartbeat.limits < fb->limits_since);
}

/* Whether this balancer is to tell an agent after so many of its outdated
 * heartbeats. */
static bool
is_in_turn(const struct fb *fb, const struct agent_view *v,
    const struct evacuation_domains *domains, uint32_t outdated)
{
	if (outdated >= OUTDATED_APART &&
	    v->heartbeat.peers != peers_digest(&fb->peers))
		return true;
	return outdated >=
	       evacuation_position(&fb->peers, domains, v->id, v->domain_tag);
}

/* Returns false when the budget for such messages is used up. */
static bool
tell_agent(struct fb *fb, struct agent_view *v,
    const struct evacuation_domains *domains, uint32_t outdated, uint64_t now)
{
	if (!is_outdated(fb, v) ||
	    !evacuation_may_repeat(v->told, v->told_ns, now) ||
	    !is_in_turn(fb, v, domains, outdated))
		return true;
	if (!evacuation_take(&fb->evacuation_budget, now))
		return false;
	v->told++;
	v->told_ns = now;
	ctr_inc(fb->ctr, CTR_EVACUATIONS_TOLD);
	fb_send_heartbeat(fb, v->id, now);
	return true;
}

void
fb_update_agent(struct fb *fb, struct agent_view *v, uint64_t now)
{
	struct evacuation_domains domains;

	if (fb->setup.evacuation_ms != 0)
		on_evacuation_change(fb,
		    evacuation_on_agent(
			&fb->evacuation, v->heartbeat.evacuation),
		    v->id, now);
	if (!is_outdated(fb, v)) {
		v->outdated = 0;
		v->told = 0;
		return;
	}
	if (v->outdated < OUTDATED_MAX)
		v->outdated++;
	evacuation_find_domains(&fb->peers, &domains);
	tell_agent(fb, v, &domains, v->outdated, now);
}

/* After a change, tell the agents whose first tellers include this balancer.
 * The others and those that miss it are told after their heartbeats. */
void
fb_tick_agents(struct fb *fb, uint64_t now)
{
	struct evacuation_domains domains;
	struct agent_view *v, *next;

	if (fb->told_rounds == 0 ||
	    !fb_has_elapsed(fb->told_ns, TOLD_ROUND_MS, now))
		return;
	fb->told_rounds--;
	fb->told_ns = now;
	evacuation_find_domains(&fb->peers, &domains);
	HASH_ITER(hh, fb->agents.table, v, next)
	{
		if (!agent_is_silent(v, now) &&
		    !tell_agent(fb, v, &domains, 1, now))
			return;
	}
}
