#include "flow/flow_times.h"

#include "base/clock.h"
#include "base/str.h"

#include <stdlib.h>

static void
drop(struct flow_times *t, struct flow_time *e)
{
	HASH_DEL(t->table, e);
	free(e);
}

void
flow_times_clear(struct flow_times *t)
{
	struct flow_time *e, *next;

	HASH_ITER(hh, t->table, e, next)
	{
		drop(t, e);
	}
}

static struct flow_time *
find(const struct flow_times *t, const struct flow_key *flow)
{
	struct flow_time *e;

	HASH_FIND(hh, t->table, flow, sizeof(*flow), e);
	return e;
}

static bool
is_current(const struct flow_times *t, const struct flow_time *e, uint32_t ack,
    uint64_t now)
{
	return now < e->updated_ns + t->keep_ms * NS_PER_MS &&
	       flow_acks_match(ack, e->ack);
}

void
flow_times_add(struct flow_times *t, const struct flow_key *flow, uint32_t ack,
    uint64_t at_ns, uint64_t now)
{
	struct flow_time *e = find(t, flow);

	if (e != NULL && is_current(t, e, ack, now)) {
		e->updated_ns = now;
		if (at_ns < e->at_ns)
			e->at_ns = at_ns;
		return;
	}
	if (e == NULL) {
		/* uthash iterates in order of insertion. */
		if (HASH_COUNT(t->table) >= t->capacity)
			drop(t, t->table);
		e = mem_new(sizeof(*e));
		e->flow = *flow;
		HASH_ADD(hh, t->table, flow, sizeof(e->flow), e);
	}
	e->ack = ack;
	e->at_ns = at_ns;
	e->updated_ns = now;
}

void
flow_times_add_age(struct flow_times *t, const struct flow_key *flow,
    uint32_t ack, uint32_t age_ms, uint64_t now)
{
	uint64_t age_ns = age_ms * NS_PER_MS;

	if (age_ns > 0 && age_ns < now)
		flow_times_add(t, flow, ack, now - age_ns, now);
}

uint64_t
flow_times_find(const struct flow_times *t, const struct flow_key *flow,
    uint32_t ack, uint64_t now)
{
	const struct flow_time *e = find(t, flow);

	return e != NULL && is_current(t, e, ack, now) ? e->at_ns : 0;
}

uint32_t
flow_times_age_ms(const struct flow_times *t, const struct flow_key *flow,
    uint32_t ack, uint64_t now)
{
	uint64_t at_ns = flow_times_find(t, flow, ack, now);

	return at_ns == 0 ? 0 : (uint32_t)((now - at_ns) / NS_PER_MS) + 1;
}

void
flow_times_remove(struct flow_times *t, const struct flow_key *flow)
{
	struct flow_time *e = find(t, flow);

	if (e != NULL)
		drop(t, e);
}
