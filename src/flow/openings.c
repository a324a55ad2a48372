#include "flow/openings.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

void
openings_clear(struct openings *o)
{
	struct opening *e, *next;

	HASH_ITER(hh, o->table, e, next)
	{
		openings_drop(o, e);
	}
}

struct opening *
openings_find(const struct openings *o, const struct flow_key *flow)
{
	struct opening *e;

	HASH_FIND(hh, o->table, flow, sizeof(*flow), e);
	return e;
}

void
openings_drop(struct openings *o, struct opening *e)
{
	HASH_DEL(o->table, e);
	free(e);
}

struct opening *
openings_add(struct openings *o, const struct flow_packet *p, uint32_t service,
    uint64_t now)
{
	struct opening *e;

	/* uthash iterates in the order of insertion: the head is the oldest. */
	if (HASH_COUNT(o->table) >= o->capacity)
		openings_drop(o, o->table);
	e = mem_new(sizeof(*e) + p->bytes.len);
	e->flow = p->flow;
	e->service = service;
	e->seq = p->seq;
	e->received_ns = now;
	e->len = p->bytes.len;
	memcpy(e->bytes, p->bytes.p, p->bytes.len);
	HASH_ADD(hh, o->table, flow, sizeof(e->flow), e);
	return e;
}

uint64_t
opening_agent(const struct opening *e)
{
	return e->tried_count == 0 ? 0 : e->tried[e->tried_count - 1];
}

size_t
openings_expire(struct openings *o, uint64_t now)
{
	size_t count = 0;

	while (o->table != NULL &&
	       now - o->table->received_ns > OPENING_TIMEOUT_MS * NS_PER_MS) {
		openings_drop(o, o->table);
		count++;
	}
	return count;
}
