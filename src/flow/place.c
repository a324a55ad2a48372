#include "flow/place.h"

#include "base/clock.h"
#include "flow/failure_rate.h"

#include <string.h>
#include <xxhash.h>

/** Load that a flow is taken for while a service has no evidence, in
 * thousandths of a request: one request of 30 ms each second. */
#define MEAN_DEFAULT_MILLI 30
/** A target in another failure domain counts as fuller by this, in thousandths
 * of a slot: the link costs bytes and delay. At 60 a noisy load sent flows
 * across for nothing; at 400 more is served in time, and 700 adds no more. */
#define CROSSING_MILLI 400
/** A cold target's load counts this many percent. */
#define COLD_PERCENT 160
/** Evidence older than this many periods makes a target costly. */
#define STALE_PERIODS 2
/** Cost added for stale evidence, thousandths of a slot. */
#define STALE_MILLI 500

/** A target that fails a part of its requests counts as fuller by this many
 * times that part of a slot: one that fails a quarter as by a whole one, since
 * each failure costs its caller another try, or its request. */
#define FAILING_TIMES 4

static bool
tried(const struct place_ask *ask, uint64_t id)
{
	for (size_t i = 0; i < ask->tried_count; i++) {
		if (ask->tried[i] == id)
			return true;
	}
	return false;
}

static bool
takes_flows(const struct agent_view *v, uint64_t now)
{
	return v->said.state == TARGET_READY && !agents_silent(v, now);
}

/* Load of the service over its flows: what one flow brings. */
static uint64_t
mean_load(const struct agent_group *g, uint64_t now)
{
	uint64_t busy = 0;
	uint64_t flows = 0;

	for (size_t i = 0; i < g->count; i++) {
		if (agents_silent(g->members[i], now))
			continue;
		busy += g->members[i]->said.busy_milli;
		flows += g->members[i]->said.flows;
	}
	if (flows == 0 || busy / flows > 1000)
		return MEAN_DEFAULT_MILLI;
	return busy / flows > 0 ? busy / flows : 1;
}

uint64_t
place_cost(const struct agent_view *v, uint64_t mean_milli, const char *domain,
    uint64_t now)
{
	uint64_t slots = v->said.slots == 0 ? 1 : v->said.slots;
	uint64_t flows = (uint64_t)v->said.flows + v->placed;
	uint64_t seen = v->said.busy_milli + v->placed * mean_milli;
	/*
	 * What was seen is noisy, and what flows bring on average hides a slow
	 * target: each counts half.
	 */
	uint64_t cost = (seen + flows * mean_milli) / 2 / slots;

	if (now < v->cold_until_ns)
		cost = cost * COLD_PERCENT / 100 + MEAN_DEFAULT_MILLI;
	if (v->said.failing >= FAILING_THRESHOLD_MILLI)
		cost += (uint64_t)v->said.failing * FAILING_TIMES;
	if (strcmp(v->said.domain, domain) != 0)
		cost += CROSSING_MILLI;
	if (now > v->heard_ns +
		      (uint64_t)STALE_PERIODS * v->said.period_ms * NS_PER_MS +
		      AGENT_LATE_MS * NS_PER_MS)
		cost += STALE_MILLI;
	return cost;
}

/* Rank of an agent for a flow; the lowest ranks are its candidates. */
static uint64_t
rank_of(const struct agent_view *v, uint64_t flow)
{
	return XXH3_64bits_withSeed(&v->id, sizeof(v->id), flow);
}

size_t
place_candidates(const struct agent_group *g, const char *domain, uint64_t flow,
    struct agent_view *out[PLACE_CANDIDATES])
{
	uint64_t ranks[PLACE_CANDIDATES];
	size_t count = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct agent_view *v = g->members[i];
		uint64_t rank = rank_of(v, flow);
		size_t at = count;

		if (strcmp(v->said.domain, domain) != 0 ||
		    (count == PLACE_CANDIDATES && rank >= ranks[count - 1]))
			continue;
		if (count < PLACE_CANDIDATES)
			count++;
		else
			at--;
		for (; at > 0 && rank < ranks[at - 1]; at--) {
			ranks[at] = ranks[at - 1];
			out[at] = out[at - 1];
		}
		ranks[at] = rank;
		out[at] = v;
	}
	return count;
}

void
place_each_candidate(const struct agent_group *g, uint64_t flow,
    void (*each)(void *ctx, struct agent_view *v), void *ctx)
{
	struct agent_view *few[PLACE_CANDIDATES];

	for (size_t i = 0; i < g->count; i++) {
		const char *domain = g->members[i]->said.domain;
		size_t seen = 0;
		size_t count;

		while (strcmp(g->members[seen]->said.domain, domain) != 0)
			seen++;
		if (seen < i)
			continue;
		count = place_candidates(g, domain, flow, few);
		for (size_t k = 0; k < count; k++)
			each(ctx, few[k]);
	}
}

/** A choice that is under way. */
struct choice {
	const struct place_ask *ask;
	uint64_t mean;
	struct agent_view *best;
	uint64_t cost;
	struct agent_view *avoided; /**< only if there is no other */
};

static void
weigh(void *ctx, struct agent_view *v)
{
	struct choice *c = ctx;
	const struct place_ask *ask = c->ask;
	uint64_t cost;

	if (!takes_flows(v, ask->now) || tried(ask, v->id))
		return;
	if (ask->now < v->avoid_until_ns) {
		c->avoided = v;
		return;
	}
	cost = place_cost(v, c->mean, ask->domain, ask->now);
	if (c->best != NULL &&
	    (cost > c->cost ||
		(cost == c->cost &&
		    rank_of(v, ask->flow) > rank_of(c->best, ask->flow))))
		return;
	c->best = v;
	c->cost = cost;
}

struct agent_view *
place_choose(const struct place_ask *ask)
{
	const struct agent_group *g = agents_group(ask->agents, ask->service);
	struct choice c = {.ask = ask};

	if (g == NULL)
		return NULL;
	c.mean = mean_load(g, ask->now);
	place_each_candidate(g, ask->flow, weigh, &c);
	for (size_t i = 0; c.best == NULL && i < g->count; i++)
		weigh(&c, g->members[i]);
	return c.best != NULL ? c.best : c.avoided;
}
