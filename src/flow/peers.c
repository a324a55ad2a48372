#include "flow/peers.h"

#include "base/clock.h"

#include <stdlib.h>
#include <xxhash.h>

static uint64_t
digest_of_id(uint64_t id)
{
	return id == 0 ? 0 : XXH3_64bits(&id, sizeof(id));
}

static void
forget(struct peers *p, struct peer *e)
{
	p->digest ^= digest_of_id(e->id);
	HASH_DEL(p->table, e);
	free(e);
}

void
peers_clear(struct peers *p)
{
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		forget(p, e);
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
peers_record(
    struct peers *p, uint64_t id, uint64_t last_seen_ns, uint32_t domain_tag)
{
	struct peer *e;

	if (id == p->self || id == 0)
		return false;
	e = peers_find(p, id);
	if (e != NULL) {
		if (last_seen_ns > e->last_seen_ns)
			e->last_seen_ns = last_seen_ns;
		if (domain_tag != 0)
			e->domain_tag = domain_tag;
		return false;
	}
	e = mem_new(sizeof(*e));
	e->id = id;
	e->last_seen_ns = last_seen_ns;
	e->domain_tag = domain_tag;
	HASH_ADD(hh, p->table, id, sizeof(e->id), e);
	p->digest ^= digest_of_id(id);
	return true;
}

bool
peers_on_heartbeat(
    struct peers *p, uint64_t id, const struct msg_balancer *b, uint64_t now)
{
	bool is_new =
	    peers_record(p, id, now, flow_service_tag(str_of(b->domain)));
	struct peer *e = peers_find(p, id);

	if (e == NULL)
		return false;
	e->last_heartbeat_ns = now;
	e->version = b->version;
	e->leaving = b->leaving;
	e->watch_ok = b->watch_ok;
	e->agents_complete = b->settled;
	e->all_domains = b->whole;
	e->all.count = b->agents;
	e->all.digest = b->agent_set;
	e->local.count = b->near_agents;
	e->local.digest = b->near_set;
	e->capacity = b->capacity;
	str_copy(e->domain, sizeof(e->domain), str_of(b->domain));
	return is_new;
}

void
peers_refresh_all(struct peers *p, uint64_t now)
{
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		e->last_seen_ns = now;
	}
}

void
peers_mark_received(const struct peer *e, struct agent_summary *set)
{
	set->was_complete |=
	    e->agents_complete && (e->all_domains || set == &e->local);
}

uint64_t
peers_forget_ms(const struct peers *p)
{
	uint64_t ms = PEER_FORGET_PER_PEER_MS * (uint64_t)HASH_COUNT(p->table);

	return ms > PEER_FORGET_MS ? ms : PEER_FORGET_MS;
}

void
peers_expire(struct peers *p, uint64_t now)
{
	uint64_t forget_ns = peers_forget_ms(p) * NS_PER_MS;
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		if (now - e->last_seen_ns >= forget_ns)
			forget(p, e);
	}
}

uint64_t
peers_digest(const struct peers *p)
{
	return p->digest ^ digest_of_id(p->self);
}

static void
append_entry(
    struct msg_peers *out, uint64_t id, uint64_t age_ns, uint32_t domain_tag)
{
	out->peers[out->count++] =
	    (struct msg_peer){id, (uint32_t)(age_ns / NS_PER_MS), domain_tag};
}

size_t
peers_list(
    const struct peers *p, size_t from, uint64_t now, struct msg_peers *out)
{
	size_t at = 0;
	struct peer *e, *next;

	out->count = 0;
	if (p->self != 0 && from == 0)
		append_entry(out, p->self, 0, p->domain_tag);
	HASH_ITER(hh, p->table, e, next)
	{
		if (at++ < from)
			continue;
		if (out->count == FLOW_PEERS_MAX)
			return at - 1;
		append_entry(out, e->id,
		    now > e->last_seen_ns ? now - e->last_seen_ns : 0,
		    e->domain_tag);
	}
	return 0;
}

void
peers_sample(const struct peers *p, size_t most, struct rng *rng, uint64_t now,
    struct msg_peers *out)
{
	size_t count = HASH_COUNT(p->table);
	size_t first, at = 0;
	struct peer *e, *next;

	*out = (struct msg_peers){.sample = true};
	if (p->self != 0)
		append_entry(out, p->self, 0, p->domain_tag);
	if (count == 0)
		return;
	first = (size_t)rng_below(rng, count);
	HASH_ITER(hh, p->table, e, next)
	{
		if ((at++ + count - first) % count < most &&
		    out->count < FLOW_PEERS_MAX)
			append_entry(out, e->id,
			    now > e->last_seen_ns ? now - e->last_seen_ns : 0,
			    e->domain_tag);
	}
}

size_t
peers_count(const struct peers *p)
{
	return HASH_COUNT(p->table);
}

bool
peers_is_local(const struct peers *p, const struct peer *e)
{
	return e->domain_tag == 0 || e->domain_tag == p->domain_tag;
}

size_t
peers_count_local(const struct peers *p)
{
	size_t count = 0;
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		count += peers_is_local(p, e) ? 1 : 0;
	}
	return count;
}
