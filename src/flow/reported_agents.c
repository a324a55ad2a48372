#include "flow/reported_agents.h"

#include "base/clock.h"
#include "flow/agents.h"

#include <stdlib.h>

static struct reported_agent *
find(const struct reported_agents *r, uint64_t id)
{
	struct reported_agent *e;

	HASH_FIND(hh, r->table, &id, sizeof(id), e);
	return e;
}

static void
drop(struct reported_agents *r, struct reported_agent *e)
{
	HASH_DEL(r->table, e);
	free(e);
}

void
reported_agents_clear(struct reported_agents *r)
{
	struct reported_agent *e, *next;

	HASH_ITER(hh, r->table, e, next)
	{
		drop(r, e);
	}
}

static struct reported_agent *
find_or_add(struct reported_agents *r, uint64_t id)
{
	struct reported_agent *e = find(r, id);

	if (e != NULL)
		return e;
	e = mem_new(sizeof(*e));
	e->id = id;
	HASH_ADD(hh, r->table, id, sizeof(e->id), e);
	return e;
}

bool
reported_agents_add(struct reported_agents *r, uint64_t id, uint32_t domain,
    uint64_t last_seen_ns, uint64_t now)
{
	uint64_t until = last_seen_ns + AGENT_RESTART_WAIT_MS * NS_PER_MS;
	struct reported_agent *e = find(r, id);
	bool is_new = e == NULL || e->until_ns <= now;

	if (until <= now)
		return false;
	if (e == NULL)
		e = find_or_add(r, id);
	if (e->gone && e->until_ns > now)
		return false;
	e->gone = false;
	e->domain = domain;
	if (until > e->until_ns)
		e->until_ns = until;
	return is_new;
}

void
reported_agents_on_heartbeat(struct reported_agents *r, uint64_t id)
{
	struct reported_agent *e = find(r, id);

	if (e != NULL)
		drop(r, e);
}

void
reported_agents_on_gone(struct reported_agents *r, uint64_t id, uint64_t now)
{
	struct reported_agent *e = find_or_add(r, id);

	e->gone = true;
	e->until_ns = now + AGENT_RESTART_WAIT_MS * NS_PER_MS;
}

static bool
is_pending(const struct reported_agent *e, uint32_t domain)
{
	return !e->gone &&
	       (domain == 0 || e->domain == 0 || e->domain == domain);
}

bool
reported_agents_has_pending(
    struct reported_agents *r, uint32_t domain, uint64_t now)
{
	bool pending = false;
	struct reported_agent *e, *next;

	HASH_ITER(hh, r->table, e, next)
	{
		if (e->until_ns > now) {
			pending |= is_pending(e, domain);
			continue;
		}
		if (is_pending(e, domain) && e->until_ns > r->expired_ns)
			r->expired_ns = e->until_ns;
		drop(r, e);
	}
	return pending;
}
