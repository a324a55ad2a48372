#include "flow/agents.h"

#include "base/clock.h"

#include <stdlib.h>
#include <xxhash.h>

struct agent_view *
agents_find(const struct agents *a, uint64_t id)
{
	struct agent_view *v;

	HASH_FIND(hh, a->table, &id, sizeof(id), v);
	return v;
}

static struct agent_group *
group_of(const struct agents *a, uint32_t service)
{
	struct agent_group *g;

	HASH_FIND(hh, a->groups, &service, sizeof(service), g);
	return g;
}

const struct agent_group *
agents_find_group(const struct agents *a, uint32_t service)
{
	return group_of(a, service);
}

static void
leave_group(struct agent_view *v)
{
	struct agent_group *g = v->group;

	if (g == NULL)
		return;
	for (size_t i = 0; i < g->count; i++) {
		if (g->members[i] == v)
			g->members[i] = g->members[--g->count];
	}
	v->group = NULL;
}

static void
join_group(struct agents *a, struct agent_view *v)
{
	struct agent_group *g = group_of(a, v->heartbeat.service);

	if (g != NULL && v->group == g)
		return;
	leave_group(v);
	if (g == NULL) {
		g = mem_new(sizeof(*g));
		g->service = v->heartbeat.service;
		HASH_ADD(hh, a->groups, service, sizeof(g->service), g);
	}
	g->members =
	    mem_grow(g->members, g->count + 1, sizeof(struct agent_view *));
	g->members[g->count++] = v;
	v->group = g;
}

static void
forget(struct agents *a, struct agent_view *v)
{
	leave_group(v);
	HASH_DEL(a->table, v);
	free(v);
	a->changes++;
}

void
agents_clear(struct agents *a)
{
	struct agent_view *v, *next;
	struct agent_group *g, *next_group;

	HASH_ITER(hh, a->table, v, next)
	{
		forget(a, v);
	}
	HASH_ITER(hh, a->groups, g, next_group)
	{
		HASH_DEL(a->groups, g);
		free(g->members);
		free(g);
	}
}

static struct agent_view *
find_or_add(struct agents *a, uint64_t id)
{
	struct agent_view *v = agents_find(a, id);

	if (v != NULL)
		return v;
	v = mem_new(sizeof(*v));
	v->id = id;
	HASH_ADD(hh, a->table, id, sizeof(v->id), v);
	a->changes++;
	return v;
}

struct agent_view *
agents_on_heartbeat(struct agents *a, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = find_or_add(a, m->from);

	if (v->incarnation == m->incarnation && m->sequence <= v->sequence)
		return NULL;
	if (m->incarnation == v->previous_incarnation &&
	    !agent_is_silent(v, now))
		return NULL;
	if (v->incarnation != m->incarnation) {
		v->previous_incarnation = v->incarnation;
		a->changes++;
		v->incarnation = m->incarnation;
	}
	if (v->heartbeat.state != m->u.agent.state || agent_is_silent(v, now))
		a->changes++;
	v->sequence = m->sequence;
	v->heartbeat = m->u.agent;
	v->domain_tag = flow_service_tag(str_of(v->heartbeat.domain));
	v->last_heartbeat_ns = now;
	v->load_ns = now;
	v->cold_until_ns = now + m->u.agent.cold_ms * NS_PER_MS;
	v->placed = 0;
	join_group(a, v);
	return v;
}

void
agents_remove(struct agents *a, uint64_t id)
{
	struct agent_view *v = agents_find(a, id);

	if (v != NULL)
		forget(a, v);
}

void
agents_update_load(struct agents *a, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *v = agents_find(a, m->from);

	if (v == NULL || v->incarnation != m->incarnation)
		return;
	v->load_ns = now;
	v->heartbeat.busy_milli = m->u.flow.busy_milli;
	v->heartbeat.flows = m->u.flow.flows;
	v->heartbeat.failing = m->u.flow.failing;
	v->heartbeat.queued = m->u.flow.queued;
	v->heartbeat.by_priority = m->u.flow.by_priority;
	if (m->u.flow.work_us > 0) {
		v->heartbeat.work_us = m->u.flow.work_us;
		v->heartbeat.work_samples = m->u.flow.work_samples;
	}
	if (v->placed > 0)
		v->placed--;
}

static uint64_t
silent_ms(const struct agent_view *v)
{
	return (uint64_t)AGENT_MISSED_HEARTBEATS * v->heartbeat.period_ms +
	       AGENT_HEARTBEAT_GRACE_MS;
}

bool
agent_is_silent(const struct agent_view *v, uint64_t now)
{
	return now > v->last_heartbeat_ns + silent_ms(v) * NS_PER_MS;
}

static uint64_t
forget_ms(const struct agent_view *v)
{
	uint64_t ms = silent_ms(v) + AGENT_FORGET_SILENT_MS;

	return ms > AGENT_FORGET_MS ? ms : AGENT_FORGET_MS;
}

void
agents_expire(struct agents *a, uint64_t now)
{
	struct agent_view *v, *next;

	HASH_ITER(hh, a->table, v, next)
	{
		if (now > v->last_heartbeat_ns + forget_ms(v) * NS_PER_MS)
			forget(a, v);
	}
}

uint64_t
agents_max_period_ms(const struct agents *a, uint32_t domain)
{
	uint64_t ms = 0;
	struct agent_view *v, *next;

	HASH_ITER(hh, a->table, v, next)
	{
		if ((domain == 0 || v->domain_tag == domain) &&
		    v->heartbeat.period_ms > ms)
			ms = v->heartbeat.period_ms;
	}
	return ms;
}

size_t
agents_count_live(const struct agents *a, uint64_t now)
{
	size_t live = 0;
	struct agent_view *v, *next;

	HASH_ITER(hh, a->table, v, next)
	{
		live += agent_is_silent(v, now) ? 0 : 1;
	}
	return live;
}

bool
agent_may_return(const struct agent_view *v, uint64_t now)
{
	return now < v->last_heartbeat_ns + AGENT_RESTART_WAIT_MS * NS_PER_MS;
}

static bool
is_recent(const struct agent_view *v, uint64_t now)
{
	return !agent_is_silent(v, now) || agent_may_return(v, now);
}

size_t
agents_count_recent(
    const struct agents *a, uint32_t domain, uint64_t now, uint64_t *digest)
{
	size_t count = 0;
	struct agent_view *v, *next;

	*digest = 0;
	HASH_ITER(hh, a->table, v, next)
	{
		if (!is_recent(v, now) ||
		    (domain != 0 && v->domain_tag != domain))
			continue;
		count++;
		*digest ^= XXH3_64bits(&v->id, sizeof(v->id));
	}
	return count;
}

uint64_t
agents_last_lost_ns(const struct agents *a, uint32_t domain, uint64_t now)
{
	uint64_t latest = 0;
	struct agent_view *v, *next;

	HASH_ITER(hh, a->table, v, next)
	{
		uint64_t wait_ms = silent_ms(v) > AGENT_RESTART_WAIT_MS
				       ? silent_ms(v)
				       : AGENT_RESTART_WAIT_MS;
		uint64_t lost = v->last_heartbeat_ns + wait_ms * NS_PER_MS;

		if (!is_recent(v, now) && lost > latest &&
		    (domain == 0 || v->domain_tag == domain))
			latest = lost;
	}
	return latest;
}

size_t
agents_list(const struct agents *a, uint32_t domain, size_t from, uint64_t now,
    struct msg_peers *out)
{
	size_t at = 0;
	struct agent_view *v, *next;

	out->agents = true;
	out->near = domain != 0;
	out->count = 0;
	HASH_ITER(hh, a->table, v, next)
	{
		if (at++ < from || !is_recent(v, now) ||
		    (domain != 0 && v->domain_tag != domain))
			continue;
		if (out->count == FLOW_PEERS_MAX)
			return at - 1;
		out->peers[out->count++] = (struct msg_peer){.id = v->id,
		    .domain = v->domain_tag,
		    .age_ms =
			(uint32_t)((now - v->last_heartbeat_ns) / NS_PER_MS)};
	}
	return 0;
}
