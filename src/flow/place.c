#include "flow/place.h"

#include "base/clock.h"

#include <string.h>
#include <xxhash.h>

/** Load that a flow is taken for while a service has no evidence, in
 * thousandths of a request: one request of 30 ms each second. */
#define MEAN_DEFAULT_MILLI 30
/** A target in another failure domain counts as fuller by this, in thousandths
 * of a slot: the link costs bytes and delay, an uneven load costs more. */
#define CROSSING_MILLI 60
/** A cold target's load counts this many percent. */
#define COLD_PERCENT 160
/** Evidence older than this many periods makes a target costly. */
#define STALE_PERIODS 2
/** Cost added for stale evidence, thousandths of a slot. */
#define STALE_MILLI 500

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
	if (strcmp(v->said.domain, domain) != 0)
		cost += CROSSING_MILLI;
	if (now > v->heard_ns +
		      (uint64_t)STALE_PERIODS * v->said.period_ms * NS_PER_MS +
		      AGENT_LATE_MS * NS_PER_MS)
		cost += STALE_MILLI;
	return cost;
}

struct agent_view *
place_choose(const struct place_ask *ask)
{
	const struct agent_group *g = agents_group(ask->agents, ask->service);
	struct agent_view *best = NULL;
	struct agent_view *avoided = NULL;
	uint64_t best_cost = 0;
	uint64_t best_draw = 0;
	uint64_t mean;

	if (g == NULL)
		return NULL;
	mean = mean_load(g, ask->now);
	for (size_t i = 0; i < g->count; i++) {
		struct agent_view *v = g->members[i];
		uint64_t cost;
		uint64_t draw;

		if (!takes_flows(v, ask->now) || tried(ask, v->id))
			continue;
		if (ask->now < v->avoid_until_ns) {
			avoided = v;
			continue;
		}
		cost = place_cost(v, mean, ask->domain, ask->now);
		draw = XXH3_64bits_withSeed(&v->id, sizeof(v->id), ask->salt);
		if (best == NULL || cost < best_cost ||
		    (cost == best_cost && draw < best_draw)) {
			best = v;
			best_cost = cost;
			best_draw = draw;
		}
	}
	return best != NULL ? best : avoided;
}
