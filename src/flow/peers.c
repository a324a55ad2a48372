#include "flow/peers.h"

#include "base/clock.h"

#include <stdlib.h>
#include <xxhash.h>

void
peers_clear(struct peers *p)
{
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		HASH_DEL(p->table, e);
		free(e);
	}
}

struct peer *
peers_find(const struct peers *p, uint64_t id)
{
	struct peer *e;

	HASH_FIND(hh, p->table, &id, sizeof(id), e);
	return e;
}

bool
peers_note(struct peers *p, uint64_t id, uint64_t heard_ns, uint32_t domain_tag)
{
	struct peer *e;

	if (id == p->self || id == 0)
		return false;
	e = peers_find(p, id);
	if (e != NULL) {
		if (heard_ns > e->heard_ns)
			e->heard_ns = heard_ns;
		if (domain_tag != 0)
			e->domain_tag = domain_tag;
		return false;
	}
	e = mem_new(sizeof(*e));
	e->id = id;
	e->heard_ns = heard_ns;
	e->domain_tag = domain_tag;
	HASH_ADD(hh, p->table, id, sizeof(e->id), e);
	return true;
}

bool
peers_heard(
    struct peers *p, uint64_t id, const struct msg_balancer *b, uint64_t now)
{
	bool is_new =
	    peers_note(p, id, now, flow_service_tag(str_of(b->domain)));
	struct peer *e = peers_find(p, id);

	if (e == NULL)
		return false;
	e->direct_ns = now;
	e->version = b->version;
	e->leaving = b->leaving;
	e->agents = b->agents;
	e->agent_set = b->agent_set;
	e->capacity = b->capacity;
	str_copy(e->domain, sizeof(e->domain), str_of(b->domain));
	return is_new;
}

void
peers_expire(struct peers *p, uint64_t now)
{
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		if (now - e->heard_ns < PEER_FORGET_MS * NS_PER_MS)
			continue;
		HASH_DEL(p->table, e);
		free(e);
	}
}

static uint64_t
mix(uint64_t id)
{
	return id == 0 ? 0 : XXH3_64bits(&id, sizeof(id));
}

uint64_t
peers_digest(const struct peers *p)
{
	uint64_t sum = mix(p->self);
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		sum ^= mix(e->id);
	}
	return sum;
}

static void
list_one(
    struct msg_peers *out, uint64_t id, uint64_t age_ns, uint32_t domain_tag)
{
	out->peers[out->count++] =
	    (struct msg_peer){id, (uint32_t)(age_ns / NS_PER_MS), domain_tag};
}

void
peers_list(const struct peers *p, uint64_t now, struct msg_peers *out)
{
	size_t known = HASH_COUNT(p->table);
	size_t skip = 0;
	struct peer *e, *next;

	out->count = 0;
	if (p->self != 0)
		list_one(out, p->self, 0, p->domain_tag);
	/* A table too large for one list is told part by part. */
	if (known >= FLOW_PEERS_MAX)
		skip = (size_t)(now / NS_PER_MS) % (known - FLOW_PEERS_MAX + 2);
	HASH_ITER(hh, p->table, e, next)
	{
		if (skip > 0) {
			skip--;
			continue;
		}
		if (out->count == FLOW_PEERS_MAX)
			break;
		list_one(out, e->id, now > e->heard_ns ? now - e->heard_ns : 0,
		    e->domain_tag);
	}
}

size_t
peers_count(const struct peers *p)
{
	return HASH_COUNT(p->table);
}

bool
peers_near(const struct peers *p, const struct peer *e)
{
	return e->domain_tag == 0 || e->domain_tag == p->domain_tag;
}
