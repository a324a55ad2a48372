#include "decide/member.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/** Silence after which a monitored instance is suspected. */
#define SUSPECT_AFTER_NS (1500 * NS_PER_MS)
/** Time after which an instance whose suspicion is not refuted is declared
 * dead. */
#define DEAD_AFTER_NS (3000 * NS_PER_MS)
/** How long the record of a dead or ended instance is kept as a tombstone. */
#define TOMBSTONE_KEEP_NS (600 * NS_PER_S)
/** A changed record is sent this often plus twice the binary logarithm of the
 * table's size. */
#define UPDATE_SENDS_BASE 3

struct slot {
	struct mbr_entry e;
	UT_hash_handle hh;
};

struct group_slot {
	struct mbr_group g;
	UT_hash_handle hh;
};

struct mbr_table {
	struct slot *slots;
	struct group_slot *groups;
	struct mbr_entry *self;
	struct mbr_entry *update_head;
	struct mbr_entry *update_tail;
	struct counters *ctr;
	uint64_t digest[MBR_BUCKETS];
};

static uint64_t
record_digest(const struct member *m)
{
	uint64_t words[3];

	words[0] = m->id;
	words[1] = m->incarnation;
	words[2] = (uint64_t)m->seq << 8 | m->health;
	return XXH3_64bits(words, sizeof(words));
}

unsigned
mbr_bucket(uint64_t id)
{
	return (unsigned)(id >> 20) % MBR_BUCKETS;
}

uint32_t
mbr_bucket_digest(const struct mbr_table *t, unsigned bucket)
{
	return (uint32_t)t->digest[bucket];
}

uint64_t
mbr_table_digest(const struct mbr_table *t)
{
	return XXH3_64bits(t->digest, sizeof(t->digest));
}

static void
toggle_digest(struct mbr_table *t, const struct member *m)
{
	t->digest[mbr_bucket(m->id)] ^= record_digest(m);
}

static void
enqueue_update(struct mbr_table *t, struct mbr_entry *e)
{
	unsigned sends = UPDATE_SENDS_BASE;

	for (size_t n = HASH_COUNT(t->slots); n > 1; n /= 2)
		sends += 2;
	e->update_sends_left = sends;
	if (e->update_queued)
		return;
	e->update_queued = true;
	e->next_update = NULL;
	if (t->update_tail != NULL)
		t->update_tail->next_update = e;
	else
		t->update_head = e;
	t->update_tail = e;
}

static void
dequeue_update(struct mbr_table *t, struct mbr_entry *e)
{
	struct mbr_entry **at = &t->update_head;
	struct mbr_entry *prev = NULL;

	if (!e->update_queued)
		return;
	while (*at != e) {
		prev = *at;
		at = &(*at)->next_update;
	}
	*at = e->next_update;
	if (t->update_tail == e)
		t->update_tail = prev;
	e->update_queued = false;
}

size_t
mbr_take_updates(struct mbr_table *t, struct member *out, size_t max)
{
	size_t count = HASH_COUNT(t->slots);
	size_t n = 0;

	if (max > count)
		max = count;
	while (n < max && t->update_head != NULL) {
		struct mbr_entry *e = t->update_head;
		bool seen = false;

		for (size_t i = 0; i < n && !seen; i++)
			seen = out[i].id == e->m.id;
		if (seen)
			break;
		dequeue_update(t, e);
		out[n++] = e->m;
		if (--e->update_sends_left > 0) {
			unsigned left = e->update_sends_left;

			enqueue_update(t, e);
			e->update_sends_left = left;
		}
	}
	return n;
}

static struct mbr_group *
group_find_or_add(struct mbr_table *t, uint64_t service)
{
	struct group_slot *gs;

	HASH_FIND(hh, t->groups, &service, sizeof(service), gs);
	if (gs == NULL) {
		gs = mem_new(sizeof(*gs));
		gs->g.service = service;
		HASH_ADD(hh, t->groups, g.service, sizeof(service), gs);
	}
	return &gs->g;
}

const struct mbr_group *
mbr_group(const struct mbr_table *t, uint64_t service)
{
	static const struct mbr_group empty;
	struct group_slot *gs;

	HASH_FIND(hh, t->groups, &service, sizeof(service), gs);
	return gs == NULL ? &empty : &gs->g;
}

static void
group_add(struct mbr_table *t, struct mbr_entry *e)
{
	struct mbr_group *g = group_find_or_add(t, e->m.service);
	size_t at = g->count;

	g->entries =
	    mem_grow(g->entries, g->count + 1, sizeof(struct mbr_entry *));
	while (at > 0 && g->entries[at - 1]->m.id > e->m.id) {
		g->entries[at] = g->entries[at - 1];
		at--;
	}
	g->entries[at] = e;
	g->count++;
}

static void
group_remove(struct mbr_table *t, struct mbr_entry *e)
{
	struct mbr_group *g = group_find_or_add(t, e->m.service);

	for (size_t i = 0; i < g->count; i++) {
		if (g->entries[i] != e)
			continue;
		memmove(&g->entries[i], &g->entries[i + 1],
		    (g->count - i - 1) * sizeof(struct mbr_entry *));
		g->count--;
		return;
	}
}

static struct mbr_entry *
entry_add(struct mbr_table *t, const struct member *m, uint64_t now)
{
	struct slot *s = mem_new(sizeof(*s));

	s->e.m = *m;
	s->e.slot = s;
	s->e.last_seen_ns = now;
	s->e.health_changed_ns = now;
	s->e.phase_changed_ns = now;
	HASH_ADD(hh, t->slots, e.m.id, sizeof(uint64_t), s);
	group_add(t, &s->e);
	toggle_digest(t, m);
	return &s->e;
}

static void
entry_set(struct mbr_table *t, struct mbr_entry *e, const struct member *m,
    uint64_t now)
{
	bool moved = e->m.service != m->service;

	toggle_digest(t, &e->m);
	if (moved)
		group_remove(t, e);
	if (e->m.health != m->health || e->m.incarnation != m->incarnation)
		e->health_changed_ns = now;
	if (e->m.phase != m->phase || e->m.incarnation != m->incarnation)
		e->phase_changed_ns = now;
	if (m->health == MBR_OK)
		e->last_seen_ns = now;
	e->m = *m;
	if (moved)
		group_add(t, e);
	toggle_digest(t, &e->m);
	enqueue_update(t, e);
	ctr_inc(t->ctr, CTR_MEMBER_CHANGES);
}

struct mbr_table *
mbr_new(const struct member *self, struct counters *ctr)
{
	struct mbr_table *t = mem_new(sizeof(*t));

	t->ctr = ctr;
	t->self = entry_add(t, self, 0);
	enqueue_update(t, t->self);
	return t;
}

void
mbr_free(struct mbr_table *t)
{
	struct slot *s;
	struct slot *tmp;
	struct group_slot *g;
	struct group_slot *gtmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->groups, g, gtmp)
	{
		HASH_DEL(t->groups, g);
		free(g->g.entries);
		free(g);
	}
	HASH_ITER(hh, t->slots, s, tmp)
	{
		HASH_DEL(t->slots, s);
		free(s);
	}
	free(t);
}

const struct member *
mbr_self(const struct mbr_table *t)
{
	return &t->self->m;
}

void
mbr_set_phase(struct mbr_table *t, enum mbr_phase phase, uint64_t now)
{
	struct member m = t->self->m;

	m.phase = phase;
	m.seq++;
	m.health = MBR_OK;
	entry_set(t, t->self, &m, now);
}

void
mbr_increment_seq(struct mbr_table *t, uint64_t now)
{
	mbr_set_phase(t, t->self->m.phase, now);
}

/* Order of two records of an instance. What the instance reports about itself
 * (incarnation, seq) has precedence over health, which others report. */
static int
record_compare(const struct member *a, const struct member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return (int)a->health - (int)b->health;
}

static bool
merge_self(struct mbr_table *t, const struct member *m, uint64_t now)
{
	struct member mine = t->self->m;

	if (record_compare(m, &mine) <= 0)
		return false;
	if (m->incarnation > mine.incarnation)
		return false;
	mine.seq = m->seq + 1;
	mine.health = MBR_OK;
	entry_set(t, t->self, &mine, now);
	ctr_inc(t->ctr, CTR_MEMBER_REFUTES);
	return true;
}

static bool
is_valid_record(const struct member *m)
{
	return m->id != 0 && m->role >= MBR_BALANCER && m->role <= MBR_AGENT &&
	       m->phase >= MBR_JOINING && m->phase <= MBR_LEFT &&
	       m->health <= MBR_DEAD;
}

bool
mbr_merge(struct mbr_table *t, const struct member *m, uint64_t now)
{
	struct mbr_entry *e;

	if (!is_valid_record(m))
		return false;
	if (m->id == t->self->m.id)
		return merge_self(t, m, now);
	e = mbr_find(t, m->id);
	if (e == NULL) {
		e = entry_add(t, m, now);
		enqueue_update(t, e);
		ctr_inc(t->ctr, CTR_MEMBER_CHANGES);
		return true;
	}
	if (record_compare(m, &e->m) <= 0)
		return false;
	entry_set(t, e, m, now);
	return true;
}

void
mbr_mark_seen(struct mbr_table *t, uint64_t id, uint64_t now)
{
	struct mbr_entry *e = mbr_find(t, id);

	if (e != NULL)
		e->last_seen_ns = now;
}

void
mbr_watch(struct mbr_table *t, uint64_t id, uint64_t now)
{
	struct mbr_entry *e = mbr_find(t, id);

	if (e == NULL)
		return;
	e->watched = true;
	e->last_seen_ns = now;
}

void
mbr_reset_timeouts(struct mbr_table *t, uint64_t now)
{
	struct slot *s;
	struct slot *tmp;

	HASH_ITER(hh, t->slots, s, tmp)
	{
		s->e.last_seen_ns = now;
		if (s->e.m.health == MBR_SUSPECT)
			s->e.health_changed_ns = now;
	}
}

static void
set_health(struct mbr_table *t, struct mbr_entry *e, enum mbr_health health,
    uint64_t now)
{
	struct member m = e->m;

	m.health = health;
	entry_set(t, e, &m, now);
}

void
mbr_suspect(struct mbr_table *t, uint64_t id, uint64_t now)
{
	struct mbr_entry *e = mbr_find(t, id);

	if (e == NULL || e == t->self)
		return;
	if (e->m.health != MBR_OK || e->m.phase == MBR_LEFT)
		return;
	set_health(t, e, MBR_SUSPECT, now);
	ctr_inc(t->ctr, CTR_MEMBER_SUSPECTS);
}

static void
remove_entry(struct mbr_table *t, struct slot *s)
{
	dequeue_update(t, &s->e);
	group_remove(t, &s->e);
	toggle_digest(t, &s->e.m);
	HASH_DEL(t->slots, s);
	free(s);
}

static void
tick_entry(struct mbr_table *t, struct slot *s, uint64_t now)
{
	struct mbr_entry *e = &s->e;
	bool is_tombstone = e->m.health == MBR_DEAD || e->m.phase == MBR_LEFT;

	if (is_tombstone) {
		uint64_t since = e->health_changed_ns > e->phase_changed_ns
				     ? e->health_changed_ns
				     : e->phase_changed_ns;

		if (now > since + TOMBSTONE_KEEP_NS)
			remove_entry(t, s);
		return;
	}
	if (e->m.health == MBR_SUSPECT &&
	    now > e->health_changed_ns + DEAD_AFTER_NS) {
		set_health(t, e, MBR_DEAD, now);
		ctr_inc(t->ctr, CTR_MEMBER_DEATHS);
		return;
	}
	if (e->watched && now > e->last_seen_ns + SUSPECT_AFTER_NS) {
		e->watched = false;
		mbr_suspect(t, e->m.id, now);
	}
}

void
mbr_tick(struct mbr_table *t, uint64_t now)
{
	struct slot *s;
	struct slot *tmp;

	HASH_ITER(hh, t->slots, s, tmp)
	{
		if (&s->e != t->self)
			tick_entry(t, s, now);
	}
}

struct mbr_entry *
mbr_find(const struct mbr_table *t, uint64_t id)
{
	struct slot *s;

	HASH_FIND(hh, t->slots, &id, sizeof(id), s);
	return s == NULL ? NULL : &s->e;
}

void
mbr_for_each(const struct mbr_table *t,
    void (*visit)(void *ctx, struct mbr_entry *e), void *ctx)
{
	struct slot *s;
	struct slot *tmp;

	HASH_ITER(hh, t->slots, s, tmp)
	{
		visit(ctx, &s->e);
	}
}

uint64_t
mbr_group_digest(const struct mbr_table *t, uint64_t service)
{
	const struct mbr_group *g = mbr_group(t, service);
	uint64_t digest = 0;

	for (size_t i = 0; i < g->count; i++)
		digest ^= record_digest(&g->entries[i]->m);
	return digest;
}

bool
mbr_is_reachable(const struct mbr_entry *e)
{
	return e->m.health != MBR_DEAD && e->m.phase != MBR_LEFT;
}

bool
mbr_is_eligible(const struct mbr_entry *e)
{
	return e->m.health == MBR_OK && e->m.phase == MBR_ACTIVE;
}

uint64_t
mbr_rank(uint64_t flow_hash, uint64_t id)
{
	uint64_t x = flow_hash ^ (id * UINT64_C(0x9e3779b97f4a7c15));

	x ^= x >> 32;
	x *= UINT64_C(0xd6e8feb86659fd93);
	x ^= x >> 32;
	x *= UINT64_C(0xd6e8feb86659fd93);
	return x ^ x >> 32;
}

/* Preference as a home, highest first: active, suspected, joining, leaving. */
static unsigned
home_priority(const struct mbr_entry *e)
{
	if (mbr_is_eligible(e))
		return 4;
	if (e->m.phase == MBR_ACTIVE)
		return 3;
	if (e->m.phase == MBR_JOINING)
		return 2;
	return 1;
}

struct mbr_entry *
mbr_home(const struct mbr_table *t, uint64_t service, uint64_t flow_hash,
    uint64_t skip)
{
	const struct mbr_group *g = mbr_group(t, service);
	struct mbr_entry *best = NULL;
	unsigned best_priority = 0;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];
		unsigned priority = home_priority(e);
		uint64_t rank;

		if (!mbr_is_reachable(e) || e->m.id == skip ||
		    priority < best_priority)
			continue;
		rank = mbr_rank(flow_hash, e->m.id);
		if (priority == best_priority && rank < best_rank)
			continue;
		best = e;
		best_priority = priority;
		best_rank = rank;
	}
	return best;
}
