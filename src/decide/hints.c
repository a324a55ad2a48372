#include "decide/hints.h"

#include <stdlib.h>
#include <string.h>

/** Associativity: entries in a set. A flow's hash selects its set. */
#define WAYS 4

struct hint {
	struct flow_key key;
	uint64_t owner; /**< 0 for an empty entry */
};

struct hint_cache {
	size_t set_count; /**< a power of two */
	size_t count;
	struct hint
	    *hints; /**< sets of WAYS entries, most recently used first */
};

struct hint_cache *
hint_new(size_t capacity)
{
	struct hint_cache *c = mem_new(sizeof(*c));

	c->set_count = 1;
	while (c->set_count * WAYS < capacity)
		c->set_count *= 2;
	c->hints = mem_new(c->set_count * WAYS * sizeof(struct hint));
	return c;
}

void
hint_free(struct hint_cache *c)
{
	if (c == NULL)
		return;
	free(c->hints);
	free(c);
}

static struct hint *
set_of(const struct hint_cache *c, const struct flow_key *key)
{
	size_t set = (size_t)flow_hash(key) & (c->set_count - 1);

	return &c->hints[set * WAYS];
}

static int
find(const struct hint *set, const struct flow_key *key)
{
	for (int i = 0; i < WAYS; i++) {
		if (set[i].owner != 0 && flow_eq(&set[i].key, key))
			return i;
	}
	return -1;
}

static void
move_to_front(struct hint *set, int at)
{
	struct hint h = set[at];

	memmove(&set[1], &set[0], (size_t)at * sizeof(set[0]));
	set[0] = h;
}

uint64_t
hint_get(struct hint_cache *c, const struct flow_key *key)
{
	struct hint *set = set_of(c, key);
	int at = find(set, key);

	if (at < 0)
		return 0;
	move_to_front(set, at);
	return set[0].owner;
}

bool
hint_set(struct hint_cache *c, const struct flow_key *key, uint64_t owner)
{
	struct hint *set = set_of(c, key);
	int at = find(set, key);
	bool evicted = false;

	if (at < 0) {
		at = WAYS - 1;
		evicted = set[at].owner != 0;
		c->count += evicted ? 0 : 1;
	}
	set[at].key = *key;
	set[at].owner = owner;
	move_to_front(set, at);
	return evicted;
}

void
hint_drop(struct hint_cache *c, const struct flow_key *key)
{
	struct hint *set = set_of(c, key);
	int at = find(set, key);

	if (at < 0)
		return;
	memmove(
	    &set[at], &set[at + 1], (size_t)(WAYS - 1 - at) * sizeof(set[0]));
	set[WAYS - 1].owner = 0;
	c->count--;
}

size_t
hint_count(const struct hint_cache *c)
{
	return c->count;
}
