#include "flow/delegates.h"

#include "base/clock.h"

/** A balancer of the own failure domain is eligible with this many times the
 * own capacity. */
#define LOCAL_CAPACITY_FACTOR 4
/** A delegate has at least the highest capacity of its failure domain divided
 * by this. */
#define MIN_CAPACITY_DIVISOR 2

static struct delegate_group *
group_of(struct delegates *d, uint32_t domain)
{
	for (size_t i = 0; i < d->count; i++) {
		if (d->groups[i].domain == domain)
			return &d->groups[i];
	}
	if (d->count == DELEGATE_DOMAINS_MAX)
		return NULL;
	d->groups[d->count] = (struct delegate_group){.domain = domain};
	return &d->groups[d->count++];
}

/* Keeps the balancers with the highest capacity, then with the lowest ids. */
static void
insert(struct delegate_group *g, const struct peer *e)
{
	size_t at = g->count;

	while (at > 0 && (e->capacity > g->capacity[at - 1] ||
			     (e->capacity == g->capacity[at - 1] &&
				 e->id < g->ids[at - 1])))
		at--;
	if (at == DELEGATES_PER_DOMAIN)
		return;
	if (g->count < DELEGATES_PER_DOMAIN)
		g->count++;
	for (size_t i = g->count - 1; i > at; i--) {
		g->ids[i] = g->ids[i - 1];
		g->capacity[i] = g->capacity[i - 1];
	}
	g->ids[at] = e->id;
	g->capacity[at] = e->capacity;
}

static bool
is_eligible(const struct peers *peers, const struct peer *e, uint32_t capacity,
    uint64_t now)
{
	if (e->last_heartbeat_ns == 0 || e->leaving || now < e->avoid_until_ns)
		return false;
	return e->domain_tag != peers->domain_tag ||
	       e->capacity >= LOCAL_CAPACITY_FACTOR * (uint64_t)capacity;
}

void
delegates_update(struct delegates *d, const struct peers *peers,
    uint32_t capacity, uint64_t now)
{
	struct peer *e, *next;

	d->count = 0;
	d->updated_ns = now;
	HASH_ITER(hh, peers->table, e, next)
	{
		struct delegate_group *g;

		g = e->domain_tag != 0 ? group_of(d, e->domain_tag) : NULL;
		if (g != NULL && is_eligible(peers, e, capacity, now))
			insert(g, e);
	}
	for (size_t i = 0; i < d->count; i++) {
		struct delegate_group *g = &d->groups[i];

		while (
		    g->count > 0 && g->capacity[g->count - 1] <
					g->capacity[0] / MIN_CAPACITY_DIVISOR)
			g->count--;
	}
}

const struct delegate_group *
delegates_find(const struct delegates *d, uint32_t domain)
{
	for (size_t i = 0; i < d->count; i++) {
		if (d->groups[i].domain == domain)
			return &d->groups[i];
	}
	return NULL;
}

uint64_t
delegates_pick(const struct delegate_group *g, uint64_t flow, size_t tries)
{
	if (g == NULL || tries >= g->count || tries >= DELEGATE_TRIES_MAX)
		return 0;
	return g->ids[(flow + tries) % g->count];
}
