#include "decide/load.h"

#include "base/clock.h"

#include <stdlib.h>
#include <uthash.h>

/** Age from which a report is stale. */
#define STALE_NS (1500 * NS_PER_MS)
/** Cost of a flow, for services that prefer unbroken flows to balance. */
#define FLOW_COST 200
/** Cost of requests in all slots of a target. */
#define SLOTS_COST 1000
/** Cost added for a stale report. */
#define STALE_COST 1000000

/** Load of an agent. */
struct peer_load {
	uint64_t id;
	struct msg_load load;
	/**
	 * Work sent since the last report. A report halves it rather than
	 * clears it, since the report may not include all of it.
	 */
	uint32_t sent_since_report;
	uint64_t reported_ns;
	UT_hash_handle hh;
};

struct load_view {
	struct peer_load *peers;
};

struct load_view *
load_view_new(void)
{
	return mem_new(sizeof(struct load_view));
}

void
load_view_free(struct load_view *v)
{
	struct peer_load *e;
	struct peer_load *tmp;

	if (v == NULL)
		return;
	HASH_ITER(hh, v->peers, e, tmp)
	{
		HASH_DEL(v->peers, e);
		free(e);
	}
	free(v);
}

static struct peer_load *
find(const struct load_view *v, uint64_t id)
{
	struct peer_load *e;

	HASH_FIND(hh, v->peers, &id, sizeof(id), e);
	return e;
}

static struct peer_load *
find_or_add(struct load_view *v, uint64_t id, uint64_t now)
{
	struct peer_load *e = find(v, id);

	if (e != NULL)
		return e;
	e = mem_new(sizeof(*e));
	e->id = id;
	e->reported_ns = now;
	e->load.permille = 1000;
	HASH_ADD(hh, v->peers, id, sizeof(id), e);
	return e;
}

void
load_report(
    struct load_view *v, uint64_t id, const struct msg_load *l, uint64_t now)
{
	struct peer_load *e = find_or_add(v, id, now);

	e->load = *l;
	e->sent_since_report /= 2;
	e->reported_ns = now;
	if (e->load.permille == 0 || e->load.permille > 1000)
		e->load.permille = 1000;
}

void
load_count_sent(struct load_view *v, uint64_t id, uint64_t now)
{
	find_or_add(v, id, now)->sent_since_report++;
}

void
load_remove(struct load_view *v, uint64_t id)
{
	struct peer_load *e = find(v, id);

	if (e == NULL)
		return;
	HASH_DEL(v->peers, e);
	free(e);
}

uint32_t
load_requests(const struct load_view *v, uint64_t id)
{
	const struct peer_load *e = find(v, id);

	return e == NULL
		   ? 0
		   : e->load.in_flight + e->load.queued + e->sent_since_report;
}

uint64_t
load_cost(const struct load_view *v, uint64_t id, const struct cfg_service *s,
    uint64_t now)
{
	const struct peer_load *e = find(v, id);
	uint64_t held;
	uint64_t cost;

	if (e == NULL)
		return 0;
	held = e->load.in_flight + e->load.queued + e->sent_since_report;
	cost = held * SLOTS_COST / s->slots + e->load.rate;
	if (s->weigh == CFG_WEIGH_FLOWS)
		cost += ((uint64_t)e->load.flows + e->sent_since_report) *
			FLOW_COST;
	cost = cost * 1000 / e->load.permille;
	if (now > e->reported_ns + STALE_NS)
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
