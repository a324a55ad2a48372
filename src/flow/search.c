#include "flow/search.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

void
searches_clear(struct searches *s)
{
	struct search *e, *next;

	HASH_ITER(hh, s->table, e, next)
	{
		searches_drop(s, e);
	}
}

struct search *
searches_find(const struct searches *s, const struct flow_key *flow)
{
	struct search *e;

	HASH_FIND(hh, s->table, flow, sizeof(*flow), e);
	return e;
}

void
searches_drop(struct searches *s, struct search *e)
{
	HASH_DEL(s->table, e);
	for (size_t i = 0; i < e->held_count; i++)
		free(e->held[i]);
	free(e->asked);
	free(e);
}

/*
 * The agents of every service are asked: a change of shares leaves flows at
 * services that their address no longer leads to.
 */
static void
collect(struct search *e, const struct agents *agents, uint64_t now)
{
	struct agent_view *v, *next;

	e->complete = true;
	e->asked = mem_new((HASH_COUNT(agents->table) + 1) * sizeof(*e->asked));
	HASH_ITER(hh, agents->table, v, next)
	{
		if (agents_silent(v, now))
			e->complete = false;
		else
			e->asked[e->asked_count++] = v->id;
	}
}

struct search *
searches_begin(struct searches *s, const struct flow_packet *p,
    const struct agents *agents, uint64_t now)
{
	struct search *e;

	if (HASH_COUNT(s->table) >= s->capacity)
		searches_drop(s, s->table);
	e = mem_new(sizeof(*e));
	e->flow = p->flow;
	e->ack = p->ack;
	e->began_ns = now;
	collect(e, agents, now);
	HASH_ADD(hh, s->table, flow, sizeof(e->flow), e);
	return e;
}

bool
search_hold(struct search *e, const struct flow_packet *p)
{
	struct held_packet *h;

	if (p->bytes.len == 0)
		return true;
	if (e->held_count == SEARCH_HELD_MAX || p->bytes.len > FLOW_PACKET_MAX)
		return false;
	h = mem_new(sizeof(*h));
	h->len = p->bytes.len;
	memcpy(h->bytes, p->bytes.p, p->bytes.len);
	e->held[e->held_count++] = h;
	return true;
}

void
search_answer(struct search *e, uint64_t agent, enum flow_where where)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i] != agent)
			continue;
		e->asked[i] = e->asked[--e->asked_count];
		if (where == FLOW_NOT_HERE)
			e->denied++;
		else
			e->unsure++;
		return;
	}
	/* An unsure agent has tried the packet: its target returned it. */
	if (where == FLOW_NOT_HERE && e->unsure > 0) {
		e->unsure--;
		e->denied++;
	}
}

enum search_verdict
search_verdict(const struct search *e, uint64_t now)
{
	if (e->asked_count == 0 && e->unsure == 0 && e->complete)
		return SEARCH_NOBODY;
	if (now - e->began_ns > SEARCH_LIFE_MS * NS_PER_MS)
		return SEARCH_UNKNOWN;
	return SEARCH_OPEN;
}
