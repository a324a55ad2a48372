#include "decide/load.h"

#include "base/clock.h"

#include <stdlib.h>
#include <uthash.h>

/** A report older than this no longer counts as fresh. */
#define STALE_NS (1500 * NS_PER_MS)
/** Cost of one flow where unbroken flows go first. */
#define FLOW_COST 200
/** Cost of a full set of slots. */
#define SLOTS_COST 1000
/** Cost added to a member that has not been heard of lately. */
#define STALE_COST 1000000

struct view {
	uint64_t id;
	struct msg_load load;
	uint32_t since; /**< sent since the last report, halved by each */
	uint64_t at_ns;
	UT_hash_handle hh;
};

struct load_view {
	struct view *views;
};

struct load_view *
load_view_new(void)
{
	return mem_new(sizeof(struct load_view));
}

void
load_view_free(struct load_view *v)
{
	struct view *e;
	struct view *tmp;

	if (v == NULL)
		return;
	HASH_ITER(hh, v->views, e, tmp)
	{
		HASH_DEL(v->views, e);
		free(e);
	}
	free(v);
}

static struct view *
find(const struct load_view *v, uint64_t id)
{
	struct view *e;

	HASH_FIND(hh, v->views, &id, sizeof(id), e);
	return e;
}

static struct view *
find_or_add(struct load_view *v, uint64_t id, uint64_t now)
{
	struct view *e = find(v, id);

	if (e != NULL)
		return e;
	e = mem_new(sizeof(*e));
	e->id = id;
	e->at_ns = now;
	e->load.permille = 1000;
	HASH_ADD(hh, v->views, id, sizeof(id), e);
	return e;
}

void
load_report(
    struct load_view *v, uint64_t id, const struct msg_load *l, uint64_t now)
{
	struct view *e = find_or_add(v, id, now);

	e->load = *l;
	e->since /= 2;
	e->at_ns = now;
	if (e->load.permille == 0 || e->load.permille > 1000)
		e->load.permille = 1000;
}

void
load_sent(struct load_view *v, uint64_t id, uint64_t now)
{
	find_or_add(v, id, now)->since++;
}

void
load_forget(struct load_view *v, uint64_t id)
{
	struct view *e = find(v, id);

	if (e == NULL)
		return;
	HASH_DEL(v->views, e);
	free(e);
}

uint32_t
load_requests(const struct load_view *v, uint64_t id)
{
	const struct view *e = find(v, id);

	return e == NULL ? 0 : e->load.in_flight + e->load.queued + e->since;
}

uint64_t
load_cost(const struct load_view *v, uint64_t id, const struct cfg_service *s,
    uint64_t now)
{
	const struct view *e = find(v, id);
	uint64_t held;
	uint64_t cost;

	if (e == NULL)
		return 0;
	held = e->load.in_flight + e->load.queued + e->since;
	cost = held * SLOTS_COST / s->slots + e->load.rate;
	if (s->weigh == CFG_WEIGH_FLOWS)
		cost += ((uint64_t)e->load.flows + e->since) * FLOW_COST;
	cost = cost * 1000 / e->load.permille;
	if (now > e->at_ns + STALE_NS)
		cost += STALE_COST;
	return cost;
}

struct mbr_entry *
load_choose(const struct load_view *v, const struct mbr_group *group,
    const struct cfg_service *s, uint64_t hash, uint64_t skip, uint64_t now)
{
	struct mbr_entry *best = NULL;
	uint64_t best_cost = 0;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < group->count; i++) {
		struct mbr_entry *e = group->entries[i];
		uint64_t cost;
		uint64_t rank;

		if (!mbr_is_eligible(e) || e->m.id == skip)
			continue;
		cost = load_cost(v, e->m.id, s, now);
		rank = mbr_rank(hash, e->m.id);
		if (best != NULL && (cost > best_cost || (cost == best_cost &&
							     rank < best_rank)))
			continue;
		best = e;
		best_cost = cost;
		best_rank = rank;
	}
	return best;
}
