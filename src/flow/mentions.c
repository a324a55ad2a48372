#include "flow/mentions.h"

#include "base/clock.h"
#include "flow/agents.h"

#include <stdlib.h>

static struct mention *
find(const struct mentions *m, uint64_t id)
{
	struct mention *e;

	HASH_FIND(hh, m->table, &id, sizeof(id), e);
	return e;
}

static void
drop(struct mentions *m, struct mention *e)
{
	HASH_DEL(m->table, e);
	free(e);
}

void
mentions_clear(struct mentions *m)
{
	struct mention *e, *next;

	HASH_ITER(hh, m->table, e, next)
	{
		drop(m, e);
	}
}

static struct mention *
find_or_add(struct mentions *m, uint64_t id)
{
	struct mention *e = find(m, id);

	if (e != NULL)
		return e;
	e = mem_new(sizeof(*e));
	e->id = id;
	HASH_ADD(hh, m->table, id, sizeof(e->id), e);
	return e;
}

bool
mentions_note(struct mentions *m, uint64_t id, uint32_t domain,
    uint64_t heard_ns, uint64_t now)
{
	uint64_t until = heard_ns + AGENT_RESTART_WAIT_MS * NS_PER_MS;
	struct mention *e = find(m, id);
	bool is_new = e == NULL || e->until_ns <= now;

	if (until <= now)
		return false;
	if (e == NULL)
		e = find_or_add(m, id);
	if (e->gone && e->until_ns > now)
		return false;
	e->gone = false;
	e->domain = domain;
	if (until > e->until_ns)
		e->until_ns = until;
	return is_new;
}

void
mentions_heard(struct mentions *m, uint64_t id)
{
	struct mention *e = find(m, id);

	if (e != NULL)
		drop(m, e);
}

void
mentions_gone(struct mentions *m, uint64_t id, uint64_t now)
{
	struct mention *e = find_or_add(m, id);

	e->gone = true;
	e->until_ns = now + AGENT_RESTART_WAIT_MS * NS_PER_MS;
}

static bool
counts(const struct mention *e, uint32_t domain)
{
	return !e->gone &&
	       (domain == 0 || e->domain == 0 || e->domain == domain);
}

bool
mentions_open(struct mentions *m, uint32_t domain, uint64_t now)
{
	bool open = false;
	struct mention *e, *next;

	HASH_ITER(hh, m->table, e, next)
	{
		if (e->until_ns <= now)
			drop(m, e);
		else
			open |= counts(e, domain);
	}
	return open;
}
