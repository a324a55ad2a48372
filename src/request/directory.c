#include "request/directory.h"

#include "base/clock.h"

#include <stdlib.h>
#include <uthash.h>

/** A download whose next block does not come is over after this. */
#define DOWNLOAD_IDLE_NS (3000 * NS_PER_MS)

struct flow_slot {
	struct flow f;
	UT_hash_handle hh;
};

struct entry {
	struct flow_key key;
	struct owner owner;
	UT_hash_handle hh;
};

struct directory {
	size_t capacity;
	struct flow_slot *flows; /**< least recently active first */
	struct entry *entries;	 /**< least recently set first */
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
	struct entry *e;
	struct entry *etmp;

	if (d == NULL)
		return;
	HASH_ITER(hh, d->flows, s, stmp)
	{
		HASH_DEL(d->flows, s);
		free(s);
	}
	HASH_ITER(hh, d->entries, e, etmp)
	{
		HASH_DEL(d->entries, e);
		free(e);
	}
	free(d);
}

struct flow *
dir_flow(const struct directory *d, const struct flow_key *key)
{
	struct flow_slot *s;

	HASH_FIND(hh, d->flows, key, sizeof(*key), s);
	return s == NULL ? NULL : &s->f;
}

bool
flow_idle(const struct flow *f, uint64_t now)
{
	if (f->in_flight > 0 || f->feeds > 0)
		return false;
	return f->download_ns == 0 || now > f->download_ns + DOWNLOAD_IDLE_NS;
}

static bool
make_room(struct directory *d, uint64_t now)
{
	/* Flows in use are passed over, but only a few of them. */
	unsigned tries = 64;
	struct flow_slot *s;
	struct flow_slot *tmp;

	if (HASH_COUNT(d->flows) < d->capacity)
		return true;
	HASH_ITER(hh, d->flows, s, tmp)
	{
		if (tries-- == 0)
			return false;
		if (!flow_idle(&s->f, now))
			continue;
		dir_release(d, &s->f);
		ctr_inc(d->ctr, CTR_EVICT_FLOW);
		return true;
	}
	return false;
}

struct flow *
dir_adopt(struct directory *d, const struct flow_key *key, uint64_t now)
{
	struct flow_slot *s;

	if (!make_room(d, now))
		return NULL;
	s = mem_new(sizeof(*s));
	s->f.key = *key;
	s->f.hash = flow_hash(key);
	s->f.adopted_ns = now;
	s->f.active_ns = now;
	s->f.index = s;
	HASH_ADD(hh, d->flows, f.key, sizeof(*key), s);
	return &s->f;
}

void
dir_touch(struct directory *d, struct flow *f, uint64_t now)
{
	struct flow_slot *s = f->index;

	f->active_ns = now;
	if (HASH_COUNT(d->flows) < d->capacity / 2)
		return;
	HASH_DEL(d->flows, s);
	HASH_ADD(hh, d->flows, f.key, sizeof(f->key), s);
}

void
dir_release(struct directory *d, struct flow *f)
{
	struct flow_slot *s = f->index;

	HASH_DEL(d->flows, s);
	free(s);
}

struct owner
dir_owner(const struct directory *d, const struct flow_key *key)
{
	struct entry *e;

	HASH_FIND(hh, d->entries, key, sizeof(*key), e);
	return e == NULL ? (struct owner){0} : e->owner;
}

void
dir_set_owner(
    struct directory *d, const struct flow_key *key, struct owner owner)
{
	struct entry *e;

	HASH_FIND(hh, d->entries, key, sizeof(*key), e);
	if (e != NULL) {
		e->owner = owner;
		return;
	}
	if (HASH_COUNT(d->entries) >= d->capacity) {
		struct entry *oldest = d->entries;

		HASH_DEL(d->entries, oldest);
		free(oldest);
		ctr_inc(d->ctr, CTR_EVICT_FLOW);
	}
	e = mem_new(sizeof(*e));
	e->key = *key;
	e->owner = owner;
	HASH_ADD(hh, d->entries, key, sizeof(*key), e);
}

size_t
dir_flows(const struct directory *d)
{
	return HASH_COUNT(d->flows);
}

size_t
dir_entries(const struct directory *d)
{
	return HASH_COUNT(d->entries);
}

void
dir_each(
    struct directory *d, void (*visit)(void *ctx, struct flow *f), void *ctx)
{
	struct flow_slot *s;
	struct flow_slot *tmp;

	HASH_ITER(hh, d->flows, s, tmp)
	{
		visit(ctx, &s->f);
	}
}
