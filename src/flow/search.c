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
		searches_remove(s, e);
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
searches_remove(struct searches *s, struct search *e)
{
	HASH_DEL(s->table, e);
	for (size_t i = 0; i < e->held_count; i++)
		free(e->held[i]);
	free(e->queries);
	free(e);
}

struct search *
searches_begin(struct searches *s, const struct flow_packet *p, uint64_t now)
{
	struct search *e;

	if (HASH_COUNT(s->table) >= s->capacity)
		searches_remove(s, s->table);
	e = mem_new(sizeof(*e));
	e->flow = p->flow;
	e->ack = p->ack;
	e->began_ns = now;
	e->complete = true;
	HASH_ADD(hh, s->table, flow, sizeof(e->flow), e);
	return e;
}

/* Mark the agents that were queried, so that add_agent() need not scan the
 * queries of the search for each agent. */
static void
mark_queried(const struct search *e, const struct agents *agents, uint64_t mark)
{
	for (size_t i = 0; i < e->query_count; i++) {
		struct agent_view *v = agents_find(agents, e->queries[i].agent);

		if (v != NULL)
			v->mark = mark;
	}
}

bool
search_covers_domain(const struct search *e, uint32_t domain)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].domain == domain && domain != 0 &&
		    !e->queries[i].failed)
			return true;
	}
	return false;
}

static struct search_query *
add_query(struct search *e, uint64_t agent)
{
	e->queries =
	    mem_grow(e->queries, e->query_count + 1, sizeof(*e->queries));
	e->queries[e->query_count] = (struct search_query){.agent = agent};
	e->pending++;
	return &e->queries[e->query_count++];
}

static void
add_agent(struct search *e, struct agent_view *v, uint64_t mark, uint64_t now)
{
	if (v->heartbeat.state == TARGET_ABSENT || v->mark == mark)
		return;
	if (agent_is_silent(v, now)) {
		e->complete &= !agent_may_return(v, now);
		return;
	}
	add_query(e, v->id);
	v->mark = mark;
}

/** Context in which the agents of a tier are added to a search. */
struct tier_agents {
	struct search *e;
	const char *domain;
	bool local;
	uint64_t mark;
	uint64_t now;
};

static void
add_candidate(void *ctx, struct agent_view *v)
{
	struct tier_agents *t = ctx;
	bool local = strcmp(v->heartbeat.domain, t->domain) == 0;

	if (local == t->local &&
	    (local || !search_covers_domain(t->e, v->domain_tag)))
		add_agent(t->e, v, t->mark, t->now);
}

/* Add the flow's candidates in one service. */
static void
add_group(struct tier_agents *t, const struct agent_group *g)
{
	if (g != NULL)
		place_for_each_candidate(
		    g, flow_hash(&t->e->flow), add_candidate, t);
}

/* Add the candidates in each service to which the flow's address is routed, or
 * in all services when it has no route. */
static void
add_candidates(struct tier_agents *t, const struct search_scope *scope)
{
	const struct flow_route *route = scope->route;
	struct agent_group *g, *next;

	for (size_t i = 0; route != NULL && i < route->count; i++)
		add_group(t,
		    agents_find_group(scope->agents, route->shares[i].service));
	if (route != NULL)
		return;
	HASH_ITER(hh, scope->agents->groups, g, next)
	{
		add_group(t, g);
	}
}

/* Attempts that failed in a domain; a delegate that replied FIND_UNKNOWN uses
 * all of them up. */
static size_t
failed_attempts(const struct search *e, uint32_t domain)
{
	size_t count = 0;

	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].domain == domain)
			count += e->queries[i].replied_unknown
				     ? DELEGATE_TRIES_MAX
				     : 1;
	}
	return count;
}

static void
add_delegate(struct tier_agents *t, uint64_t id, uint32_t domain)
{
	struct search_query *q = add_query(t->e, id);

	q->domain = domain;
	q->queried_ns = t->now;
	t->e->delegates_pending++;
}

static void
add_delegates(struct tier_agents *t, const struct search_scope *scope)
{
	for (size_t i = 0; i < scope->delegates->count; i++) {
		const struct delegate_group *g = &scope->delegates->groups[i];
		uint64_t id;

		if (search_covers_domain(t->e, g->domain))
			continue;
		id = delegates_pick(g, flow_hash(&t->e->flow),
		    failed_attempts(t->e, g->domain));
		if (id == 0) {
			t->e->lacks_delegate |= g->domain != scope->domain_tag;
			continue;
		}
		add_delegate(t, id, g->domain);
	}
}

/*
 * Add the agents of all services, because flows stay at their service when a
 * change of the configuration no longer routes their address to it. A proxied
 * search queries only the agents of the local failure domain.
 */
static void
add_all(struct tier_agents *t, const struct search_scope *scope)
{
	bool proxied = search_is_proxied(t->e);
	struct agent_view *v, *next;

	HASH_ITER(hh, scope->agents->table, v, next)
	{
		bool local = v->domain_tag == scope->domain_tag;

		if (proxied ? !local
			    : search_covers_domain(t->e, v->domain_tag))
			continue;
		t->e->lacks_delegate |= !local;
		add_agent(t->e, v, t->mark, t->now);
	}
}

void
search_advance(struct search *e, const struct search_scope *scope, uint64_t now,
    size_t *first)
{
	static uint64_t marks;
	struct tier_agents t = {.e = e,
	    .domain = scope->domain,
	    .local = e->tier == SEARCH_LOCAL,
	    .mark = ++marks,
	    .now = now};

	*first = e->query_count;
	e->complete = true;
	mark_queried(e, scope->agents, t.mark);
	if (search_is_proxied(e) && e->tier != SEARCH_LOCAL)
		e->tier = SEARCH_ALL;
	if (e->tier == SEARCH_DELEGATES) {
		add_delegates(&t, scope);
		e->tier++;
	}
	if (e->query_count > *first) {
		/* Wait for the delegates' replies first. */
	} else if (e->tier < SEARCH_ALL) {
		add_candidates(&t, scope);
		e->tier++;
	} else {
		/* Agents that appear later are queried when the search is due
		 * again. */
		add_all(&t, scope);
		e->tier = SEARCH_TIERS;
		e->agent_changes = scope->agents->changes;
	}
	e->queried_ns = now;
	if (e->query_count > *first)
		e->last_query_ns = now;
}

static uint64_t
tier_timeout_ns(const struct search *e, uint64_t ms, uint64_t lag_ms)
{
	bool only_probes = e->probing + e->delegates_pending == e->pending &&
			   (e->probing > 0 || e->delegates_pending == 0);
	uint64_t timeout_ms = only_probes ? SEARCH_PROBE_TIMEOUT_MS : ms;

	return (timeout_ms + SEARCH_LAG_FACTOR * lag_ms) * NS_PER_MS;
}

bool
search_is_due(const struct search *e, const struct agents *agents, uint64_t now,
    uint64_t lag_ms)
{
	bool waited =
	    now >=
	    e->queried_ns + tier_timeout_ns(e, SEARCH_TIER_TIMEOUT_MS, lag_ms);

	if (e->tier < SEARCH_TIERS)
		return waited || e->pending == e->probes_due;
	return waited && (e->agent_changes != agents->changes || !e->complete);
}

bool
search_should_retry(struct search *e, uint64_t now, uint64_t lag_ms)
{
	if (e->pending == e->probing || e->retries == SEARCH_RETRIES_MAX ||
	    now <
		e->last_query_ns +
		    (SEARCH_RETRY_MS + SEARCH_LAG_FACTOR * lag_ms) * NS_PER_MS)
		return false;
	e->retries++;
	e->last_query_ns = now;
	return true;
}

static void
end_delegate_query(struct search *e, struct search_query *q)
{
	q->answered = true;
	e->pending--;
	e->delegates_pending--;
}

/* Give up a delegate; its failure domain is no longer covered, and the next
 * tier that covers it is due at once. */
static void
fail_delegate(struct search *e, struct search_query *q, enum search_tier next)
{
	end_delegate_query(e, q);
	q->failed = true;
	if (e->tier > next)
		e->tier = next;
	e->queried_ns = 0;
}

uint64_t
search_expire_delegate(struct search *e, uint64_t now, uint64_t lag_ms)
{
	uint64_t ms = SEARCH_DELEGATE_TIMEOUT_MS + SEARCH_LAG_FACTOR * lag_ms;

	for (size_t i = 0; i < e->query_count; i++) {
		struct search_query *q = &e->queries[i];

		if (q->domain == 0 || q->answered || q->replied_pending ||
		    now < q->queried_ns + ms * NS_PER_MS)
			continue;
		fail_delegate(e, q, SEARCH_DELEGATES);
		return q->agent;
	}
	return 0;
}

void
search_handle_delegate_reply(
    struct search *e, uint64_t delegate, enum find_result where)
{
	for (size_t i = 0; i < e->query_count; i++) {
		struct search_query *q = &e->queries[i];

		if (q->agent != delegate || q->answered)
			continue;
		if (where == FIND_PENDING) {
			q->replied_pending = true;
		} else if (where == FIND_NOT_HELD) {
			end_delegate_query(e, q);
		} else {
			q->replied_unknown = true;
			fail_delegate(e, q, SEARCH_REMOTE);
		}
		return;
	}
}

bool
search_handle_delegate_referral(
    struct search *e, uint64_t delegate, uint64_t agent)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].agent == delegate && !e->queries[i].answered)
			end_delegate_query(e, &e->queries[i]);
	}
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].agent == agent)
			return false;
	}
	add_query(e, agent);
	return true;
}

void
search_retry_delegates(struct search *e)
{
	e->lacks_delegate = false;
	e->tier = SEARCH_DELEGATES;
	e->queried_ns = 0;
}

bool
search_is_proxied(const struct search *e)
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
search_hold_packet(struct search *e, const struct flow_packet *p)
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

bool
search_is_about(const struct search *e, uint32_t ack)
{
	return ack == 0 || flow_acks_match(ack, e->ack);
}

/*
 * A flow never moves to another target, so an agent's FIND_NOT_HELD is final,
 * and is counted once. An agent that was restarted replies FIND_UNKNOWN to each
 * query and FIND_NOT_HELD after each probe; it gets several queries when this
 * balancer also runs a proxied search for the flow, or repeats a query.
 */
static void
update_query(struct search *e, struct search_query *q, enum find_result where)
{
	bool unknown = where == FIND_UNKNOWN;

	if (q->answered && !q->replied_unknown)
		return;
	if (unknown && !q->replied_unknown) {
		e->unknown_count++;
		e->probing++;
	} else if (!unknown) {
		e->probing -= q->replied_unknown ? 1 : 0;
		e->pending--;
	}
	e->probes_due += (unknown ? 1 : 0) - (q->probe_due ? 1 : 0);
	q->probe_due = unknown;
	q->answered = true;
	q->replied_unknown = unknown;
}

void
search_handle_reply(struct search *e, uint64_t agent, enum find_result where)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (e->queries[i].agent == agent) {
			update_query(e, &e->queries[i], where);
			return;
		}
	}
}

uint64_t
search_take_probe(struct search *e)
{
	for (size_t i = 0; i < e->query_count && e->probes_due > 0; i++) {
		if (!e->queries[i].probe_due)
			continue;
		e->queries[i].probe_due = false;
		e->probes_due--;
		return e->queries[i].agent;
	}
	return 0;
}

bool
search_has_queried_all(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	uint64_t ms = SEARCH_TIER_TIMEOUT_MS + SEARCH_LAG_FACTOR * lag_ms;

	return e->tier == SEARCH_TIERS &&
	       (e->pending == e->probing ||
		   now >= e->last_query_ns + ms * NS_PER_MS);
}

bool
search_is_answered(const struct search *e, const struct agents *agents)
{
	return e->tier == SEARCH_TIERS && e->pending == e->probing &&
	       e->complete && e->agent_changes == agents->changes;
}

bool
search_has_expired(const struct search *e, uint64_t now, uint64_t lag_ms)
{
	/* Probes that are still due need the held packets. */
	bool mostly_unknown =
	    e->probing > e->probes_due && 2 * e->unknown_count > e->query_count;
	uint64_t timeout_ms =
	    mostly_unknown ? SEARCH_UNKNOWN_TIMEOUT_MS : SEARCH_TIMEOUT_MS;

	timeout_ms += SEARCH_LAG_FACTOR * lag_ms;
	return now > e->began_ns + timeout_ms * NS_PER_MS;
}

enum search_verdict
search_verdict(const struct search *e, const struct agents *agents,
    uint64_t now, uint64_t lag_ms)
{
	bool has_queries = e->query_count > 0 || search_is_proxied(e);

	if (e->tier == SEARCH_TIERS && has_queries && e->pending == 0 &&
	    e->complete && e->agent_changes == agents->changes)
		return SEARCH_NOT_FOUND;
	return search_has_expired(e, now, lag_ms) ? SEARCH_INCONCLUSIVE
						  : SEARCH_IN_PROGRESS;
}

uint64_t
search_first_pending(const struct search *e)
{
	for (size_t i = 0; i < e->query_count; i++) {
		if (!e->queries[i].answered || e->queries[i].replied_unknown)
			return e->queries[i].agent;
	}
	return 0;
}
