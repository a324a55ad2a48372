#include "request/directory.h"

#include "base/clock.h"

#include <stdlib.h>
#include <uthash.h>

/** A block-wise download ends when no block is requested for this long. */
#define DOWNLOAD_TIMEOUT_NS (3000 * NS_PER_MS)

struct flow_slot {
	struct flow f;
	UT_hash_handle hh;
};

struct owner_record {
	struct flow_key key;
	struct owner owner;
	UT_hash_handle hh;
};

struct directory {
	size_t capacity;
	struct flow_slot *flows;     /**< least recently used first */
	struct owner_record *owners; /**< in order of insertion */
	struct counters *ctr;
};

struct directory *
dir_new(size_t capacity, struct counters *ctr)
{
	struct directory *d = mem_new(sizeof(*d));

	d->capacity = capacity;
	d->ctr = ctr;
	return d;
}

void
dir_free(struct directory *d)
{
	struct flow_slot *s;
	struct flow_slot *stmp;
	struct owner_record *e;
	struct owner_record *etmp;

	if (d == NULL)
		return;
	HASH_ITER(hh, d->flows, s, stmp)
	{
		HASH_DEL(d->flows, s);
		free(s);
	}
	HASH_ITER(hh, d->owners, e, etmp)
	{
		HASH_DEL(d->owners, e);
		free(e);
	}
	free(d);
}

struct flow *
dir_find_flow(const struct directory *d, const struct flow_key *key)
{
	struct flow_slot *s;

	HASH_FIND(hh, d->flows, key, sizeof(*key), s);
	return s == NULL ? NULL : &s->f;
}

bool
flow_is_idle(const struct flow *f, uint64_t now)
{
	if (f->in_flight > 0 || f->feeds > 0)
		return false;
	return f->last_block_ns == 0 ||
	       now > f->last_block_ns + DOWNLOAD_TIMEOUT_NS;
}

static bool
evict_if_full(struct directory *d, uint64_t now)
{
	/* Bounds the search when most flows are in use. */
	unsigned tries = 64;
	struct flow_slot *s;
	struct flow_slot *tmp;

	if (HASH_COUNT(d->flows) < d->capacity)
		return true;
	HASH_ITER(hh, d->flows, s, tmp)
	{
		if (tries-- == 0)
			return false;
		if (!flow_is_idle(&s->f, now))
			continue;
		dir_remove_flow(d, &s->f);
		ctr_inc(d->ctr, CTR_EVICT_FLOW);
		return true;
	}
	return false;
}

struct flow *
dir_add_flow(struct directory *d, const struct flow_key *key, uint64_t now)
{
	struct flow_slot *s;

	if (!evict_if_full(d, now))
		return NULL;
	s = mem_new(sizeof(*s));
	s->f.key = *key;
	s->f.hash = flow_hash(key);
	s->f.owned_since_ns = now;
	s->f.last_datagram_ns = now;
	s->f.index = s;
	HASH_ADD(hh, d->flows, f.key, sizeof(*key), s);
	return &s->f;
}

void
dir_touch(struct directory *d, struct flow *f, uint64_t now)
{
	struct flow_slot *s = f->index;

	f->last_datagram_ns = now;
	if (HASH_COUNT(d->flows) < d->capacity / 2)
		return;
	HASH_DEL(d->flows, s);
	HASH_ADD(hh, d->flows, f.key, sizeof(f->key), s);
}

void
dir_remove_flow(struct directory *d, struct flow *f)
{
	struct flow_slot *s = f->index;

	HASH_DEL(d->flows, s);
	free(s);
}

struct owner
dir_get_owner(const struct directory *d, const struct flow_key *key)
{
	struct owner_record *e;

	HASH_FIND(hh, d->owners, key, sizeof(*key), e);
	return e == NULL ? (struct owner){0} : e->owner;
}

void
dir_set_owner(
    struct directory *d, const struct flow_key *key, struct owner owner)
{
	struct owner_record *e;

	HASH_FIND(hh, d->owners, key, sizeof(*key), e);
	if (e != NULL) {
		e->owner = owner;
		return;
	}
	if (HASH_COUNT(d->owners) >= d->capacity) {
		struct owner_record *oldest = d->owners;

		HASH_DEL(d->owners, oldest);
		free(oldest);
		ctr_inc(d->ctr, CTR_EVICT_FLOW);
	}
	e = mem_new(sizeof(*e));
	e->key = *key;
	e->owner = owner;
	HASH_ADD(hh, d->owners, key, sizeof(*key), e);
}

size_t
dir_flow_count(const struct directory *d)
{
	return HASH_COUNT(d->flows);
}

size_t
dir_owner_count(const struct directory *d)
{
	return HASH_COUNT(d->owners);
}

void
dir_each_flow(
    struct directory *d, void (*visit)(void *ctx, struct flow *f), void *ctx)
{
	struct flow_slot *s;
	struct flow_slot *tmp;

	HASH_ITER(hh, d->flows, s, tmp)
	{
		visit(ctx, &s->f);
	}
}
