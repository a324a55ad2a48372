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

/* Marks those that were asked, so that looking through all of them is quick. */
static void
mark_asked(const struct search *e, const struct agents *agents, uint64_t mark)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		struct agent_view *v = agents_find(agents, e->asked[i].agent);

		if (v != NULL)
			v->mark = mark;
	}
}

bool
search_covers(const struct search *e, uint32_t domain)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].domain == domain && domain != 0 &&
		    !e->asked[i].failed)
			return true;
	}
	return false;
}

static struct search_asked *
add_asked(struct search *e, uint64_t agent)
{
	e->asked = mem_grow(e->asked, e->asked_count + 1, sizeof(*e->asked));
	e->asked[e->asked_count] = (struct search_asked){.agent = agent};
	e->pending++;
	return &e->asked[e->asked_count++];
}

static void
add(struct search *e, struct agent_view *v, uint64_t mark, uint64_t now)
{
	if (v->said.state == TARGET_ABSENT || v->mark == mark)
		return;
	if (agents_silent(v, now)) {
		e->complete &= !agents_awaited(v, now);
		return;
	}
	add_asked(e, v->id);
	v->mark = mark;
}

/** Candidates of a flow that are added to its search. */
struct tier {
	struct search *e;
	const char *domain;
	bool near;
	uint64_t mark;
	uint64_t now;
};

static void
add_candidate(void *ctx, struct agent_view *v)
{
	struct tier *t = ctx;
	bool own = strcmp(v->said.domain, t->domain) == 0;

	if (own == t->near && (own || !search_covers(t->e, v->domain_tag)))
		add(t->e, v, t->mark, t->now);
}

/* Candidates of the flow in one service. */
static void
add_group(struct tier *t, const struct agent_group *g)
{
	if (g != NULL)
		place_for_each_candidate(
		    g, flow_hash(&t->e->flow), add_candidate, t);
}

/* Of each service that its address leads to, or of all if that is unknown. */
static void
add_candidates(struct tier *t, const struct search_field *field)
{
	const struct flow_route *route = field->route;
	struct agent_group *g, *next;

	for (size_t i = 0; route != NULL && i < route->count; i++)
		add_group(
		    t, agents_group(field->agents, route->shares[i].service));
	if (route != NULL)
		return;
	HASH_ITER(hh, field->agents->groups, g, next)
	{
		add_group(t, g);
	}
}

static size_t
tried_in_vain(const struct search *e, uint32_t domain)
{
	size_t count = 0;

	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].domain == domain)
			count += e->asked[i].unsure ? DELEGATE_TRIES : 1;
	}
	return count;
}

static void
add_delegate(struct tier *t, uint64_t id, uint32_t domain)
{
	struct search_asked *a = add_asked(t->e, id);

	a->domain = domain;
	a->asked_ns = t->now;
	t->e->delegated++;
}

static void
add_delegates(struct tier *t, const struct search_field *field)
{
	for (size_t i = 0; i < field->delegates->count; i++) {
		const struct delegate_group *g = &field->delegates->groups[i];
		uint64_t id;

		if (search_covers(t->e, g->domain))
			continue;
		id = delegates_pick(
		    g, flow_hash(&t->e->flow), tried_in_vain(t->e, g->domain));
		if (id == 0) {
			t->e->alone |= g->domain != field->domain_tag;
			continue;
		}
		add_delegate(t, id, g->domain);
	}
}

/*
 * The agents of every service are asked in the end: a change of shares leaves
 * flows at services that their address no longer leads to. An errand asks
 * those of the own failure domain.
 */
static void
add_all(struct tier *t, const struct search_field *field)
{
	bool errand = search_is_errand(t->e);
	struct agent_view *v, *next;

	HASH_ITER(hh, field->agents->table, v, next)
	{
		bool own = v->domain_tag == field->domain_tag;

		if (errand ? !own : search_covers(t->e, v->domain_tag))
			continue;
		t->e->alone |= !own;
		add(t->e, v, t->mark, t->now);
	}
}

void
search_next(struct search *e, const struct search_field *field, uint64_t now,
    size_t *first)
{
	static uint64_t marks;
	struct tier t = {.e = e,
	    .domain = field->domain,
	    .near = e->tier == SEARCH_NEAR,
	    .mark = ++marks,
	    .now = now};

	*first = e->asked_count;
	e->complete = true;
	mark_asked(e, field->agents, t.mark);
	if (search_is_errand(e) && e->tier != SEARCH_NEAR)
		e->tier = SEARCH_ALL;
	if (e->tier == SEARCH_DELEGATES) {
		add_delegates(&t, field);
		e->tier++;
	}
	if (e->asked_count > *first) {
		/* The delegates answer first. */
	} else if (e->tier < SEARCH_ALL) {
		add_candidates(&t, field);
		e->tier++;
	} else {
		/* Agents that came meanwhile are asked when it is due again. */
		add_all(&t, field);
		e->tier = SEARCH_TIERS;
		e->changes = field->agents->changes;
	}
	e->asked_ns = now;
	if (e->asked_count > *first)
		e->again_ns = now;
}

static uint64_t
wait_ns(const struct search *e, uint64_t ms, uint64_t lag_ms)
{
	bool tried = e->trying + e->delegated == e->pending &&
		     (e->trying > 0 || e->delegated == 0);
	uint64_t most = tried ? SEARCH_TRY_MS : ms;

	return (most + SEARCH_LAG_TIMES * lag_ms) * NS_PER_MS;
}

bool
search_due(const struct search *e, const struct agents *agents, uint64_t now,
    uint64_t lag_ms)
{
	bool waited = now >= e->asked_ns + wait_ns(e, SEARCH_NEXT_MS, lag_ms);

	if (e->tier < SEARCH_TIERS)
		return waited || e->pending == 0;
	return waited && (e->changes != agents->changes || !e->complete);
}

bool
search_again(struct search *e, uint64_t now, uint64_t lag_ms)
{
	if (e->pending == e->trying || e->again == SEARCH_AGAIN_MOST ||
	    now < e->again_ns +
		      (SEARCH_AGAIN_MS + SEARCH_LAG_TIMES * lag_ms) * NS_PER_MS)
		return false;
	e->again++;
	e->again_ns = now;
	return true;
}

static void
delegate_answered(struct search *e, struct search_asked *a)
{
	a->answered = true;
	e->pending--;
	e->delegated--;
}

/* Its failure domain is open again, and due at once. */
static void
fail_delegate(struct search *e, struct search_asked *a, enum search_tier next)
{
	delegate_answered(e, a);
	a->failed = true;
	if (e->tier > next)
		e->tier = next;
	e->asked_ns = 0;
}

uint64_t
search_mute_delegate(struct search *e, uint64_t now, uint64_t lag_ms)
{
	uint64_t ms = SEARCH_DELEGATE_MS + SEARCH_LAG_TIMES * lag_ms;

	for (size_t i = 0; i < e->asked_count; i++) {
		struct search_asked *a = &e->asked[i];

		if (a->domain == 0 || a->answered || a->waits ||
		    now < a->asked_ns + ms * NS_PER_MS)
			continue;
		fail_delegate(e, a, SEARCH_DELEGATES);
		return a->agent;
	}
	return 0;
}

void
search_delegate_says(
    struct search *e, uint64_t delegate, enum find_result where)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		struct search_asked *a = &e->asked[i];

		if (a->agent != delegate || a->answered)
			continue;
		if (where == FIND_PENDING) {
			a->waits = true;
		} else if (where == FIND_NOT_HELD) {
			delegate_answered(e, a);
		} else {
			a->unsure = true;
			fail_delegate(e, a, SEARCH_FAR);
		}
		return;
	}
}

bool
search_delegate_names(struct search *e, uint64_t delegate, uint64_t agent)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].agent == delegate && !e->asked[i].answered)
			delegate_answered(e, &e->asked[i]);
	}
	for (size_t i = 0; i < e->asked_count; i++) {
		if (e->asked[i].agent == agent)
			return false;
	}
	add_asked(e, agent);
	return true;
}

void
search_to_delegates(struct search *e)
{
	e->alone = false;
	e->tier = SEARCH_DELEGATES;
	e->asked_ns = 0;
}

bool
search_is_errand(const struct search *e)
{
	return e->client_count > 0;
}

bool
search_add_client(struct search *e, uint64_t client)
{
	for (size_t i = 0; i < e->client_count; i++) {
		if (e->clients[i] == client)
			return true;
	}
	if (e->client_count == SEARCH_CLIENTS_MAX)
		return false;
	e->clients[e->client_count++] = client;
	return true;
}

bool
search_hold(struct search *e, const struct flow_packet *p)
{
	struct held_packet *h;

	if (p->bytes.len == 0)
		return true;
	if (e->held_count == SEARCH_HELD_MAX || p->bytes.len > FLOW_PACKET_MAX)
		return false;
	h = mem_new(sizeof(*h) + p->bytes.len);
	h->len = p->bytes.len;
	memcpy(h->bytes, p->bytes.p, p->bytes.len);
	e->held[e->held_count++] = h;
	return true;
}

void
search_answer(struct search *e, uint64_t agent, enum find_result where)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		struct search_asked *a = &e->asked[i];

		if (a->agent != agent)
			continue;
		/* An unsure agent denies when its target returned the packet.
		 */
		if (where == FIND_NOT_HELD && (!a->answered || a->unsure))
			e->pending--;
		e->doubts += where == FIND_UNKNOWN && !a->unsure ? 1 : 0;
		e->trying -= a->unsure ? 1 : 0;
		e->trying += where == FIND_UNKNOWN ? 1 : 0;
		a->answered = true;
		a->unsure = where == FIND_UNKNOWN;
		return;
	}
}

bool
search_expired(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	bool trying = e->trying > 0 && 2 * e->doubts > e->asked_count;
	uint64_t life_ms = trying ? SEARCH_TRY_LIFE_MS : SEARCH_LIFE_MS;

	life_ms += SEARCH_LAG_TIMES * lag_ms;
	return now > e->began_ns + life_ms * NS_PER_MS;
}

enum search_verdict
search_verdict(const struct search *e, const struct agents *agents,
    uint64_t now, uint64_t lag_ms)
{
	bool asked = e->asked_count > 0 || search_is_errand(e);

	if (e->tier == SEARCH_TIERS && asked && e->pending == 0 &&
	    e->complete && e->changes == agents->changes)
		return SEARCH_NOBODY;
	return search_expired(e, now, lag_ms) ? SEARCH_UNKNOWN : SEARCH_OPEN;
}

uint64_t
search_open(const struct search *e)
{
	for (size_t i = 0; i < e->asked_count; i++) {
		if (!e->asked[i].answered || e->asked[i].unsure)
			return e->asked[i].agent;
	}
	return 0;
}
