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

struct search *
searches_begin(struct searches *s, const struct flow_packet *p, uint64_t now)
{
	struct search *e;

	if (HASH_COUNT(s->table) >= s->capacity)
		searches_drop(s, s->table);
	e = mem_new(sizeof(*e));
	e->flow = p->flow;
	e->ack = p->ack;
	e->began_ns = now;
	e->complete = true;
	HASH_ADD(hh, s->table, flow, sizeof(e->flow), e);
	return e;
}

static bool
was_asked(const struct search *e, uint64_t agent)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].agent == agent)
			return true;
	}
	return false;
}

static void
add(struct search *e, const struct agent_view *v, uint64_t now)
{
	if (v->said.state == TARGET_ABSENT || was_asked(e, v->id))
		return;
	if (agents_silent(v, now)) {
		e->complete &= !agents_awaited(v, now);
		return;
	}
	e->asked = mem_grow(e->asked, e->asked_count + 1, sizeof(*e->asked));
	e->asked[e->asked_count++] = (struct search_asked){.agent = v->id};
	e->pending++;
}

/** Candidates of a flow that are added to its search. */
struct tier {
	struct search *e;
	const char *domain;
	bool near;
	uint64_t now;
};

static void
add_candidate(void *ctx, struct agent_view *v)
{
	struct tier *t = ctx;
	bool own = strcmp(v->said.domain, t->domain) == 0;

	if (own == t->near)
		add(t->e, v, t->now);
}

/* Candidates of the flow in one service. */
static void
add_group(struct search *e, const struct agent_group *g, const char *domain,
    bool near, uint64_t now)
{
	struct tier t = {e, domain, near, now};

	if (g != NULL)
		place_each_candidate(g, flow_hash(&e->flow), add_candidate, &t);
}

/* Of each service that its address leads to, or of all if that is unknown. */
static void
add_candidates(
    struct search *e, const struct search_field *field, bool near, uint64_t now)
{
	const struct flow_route *route = field->route;
	struct agent_group *g, *next;

	for (size_t i = 0; route != NULL && i < route->count; i++)
		add_group(e,
		    agents_group(field->agents, route->shares[i].service),
		    field->domain, near, now);
	if (route != NULL)
		return;
	HASH_ITER(hh, field->agents->groups, g, next)
	{
		add_group(e, g, field->domain, near, now);
	}
}

/*
 * The agents of every service are asked in the end: a change of shares leaves
 * flows at services that their address no longer leads to.
 */
static void
add_all(struct search *e, const struct search_field *field, uint64_t now)
{
	struct agent_view *v, *next;

	HASH_ITER(hh, field->agents->table, v, next)
	{
		add(e, v, now);
	}
}

void
search_next(struct search *e, const struct search_field *field, uint64_t now,
    size_t *first)
{
	*first = e->asked_count;
	e->complete = true;
	if (e->tier < SEARCH_ALL) {
		add_candidates(e, field, e->tier == SEARCH_NEAR, now);
		e->tier++;
	} else {
		/* Agents that came meanwhile are asked when it is due again. */
		add_all(e, field, now);
		e->tier = SEARCH_TIERS;
	}
	e->asked_ns = now;
}

bool
search_due(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	uint64_t wait_ms =
	    e->trying == e->pending ? SEARCH_TRY_MS : SEARCH_NEXT_MS;

	wait_ms += SEARCH_LAG_TIMES * lag_ms;
	if (e->tier < SEARCH_TIERS && e->pending == 0)
		return true;
	return now >= e->asked_ns + wait_ms * NS_PER_MS;
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
		struct search_asked *a = &e->asked[i];

		if (a->agent != agent)
			continue;
		/* An unsure agent denies when its target returned the packet.
		 */
		if (where == FLOW_NOT_HERE && (!a->answered || a->unsure))
			e->pending--;
		e->trying -= a->unsure ? 1 : 0;
		e->trying += where == FLOW_UNSURE ? 1 : 0;
		a->answered = true;
		a->unsure = where == FLOW_UNSURE;
		return;
	}
}

bool
search_expired(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	uint64_t life_ms = SEARCH_LIFE_MS + SEARCH_LAG_TIMES * lag_ms;

	return now > e->began_ns + life_ms * NS_PER_MS;
}

enum search_verdict
search_verdict(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	if (e->tier == SEARCH_TIERS && e->asked_count > 0 && e->pending == 0 &&
	    e->complete)
		return SEARCH_NOBODY;
	return search_expired(e, now, lag_ms) ? SEARCH_UNKNOWN : SEARCH_OPEN;
}
