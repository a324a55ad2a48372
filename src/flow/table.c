#include "flow/table.h"

#include "base/clock.h"

#include <stdlib.h>

/** An opening is forgotten after this, ms: the caller gives it up sooner. */
#define OPENING_MS 2000
/** A flow that ended is kept for this, ms: eight repeats of its last packet
 * take no longer. */
#define CLOSED_MS 8000
/** A caller that never answered the target's acceptance, ms. */
#define HALF_MS 5000
/** How far an acknowledgement may be from the target's latest number: some
 * times what a target has on its way; numbers of two flows hardly ever meet. */
#define FIT_BYTES (1U << 20)

struct held_flow *
table_find(const struct flow_table *t, const struct flow_key *flow)
{
	struct held_flow *f;

	HASH_FIND(hh, t->table, flow, sizeof(*flow), f);
	return f;
}

static bool
counts_open(enum held_state s)
{
	return s == HELD_HALF || s == HELD_OPEN;
}

void
table_answer(struct flow_table *t, struct held_flow *f)
{
	if (f->asked_ns == 0)
		return;
	f->asked_ns = 0;
	t->waiting--;
}

void
table_ask(struct flow_table *t, struct held_flow *f, uint64_t now)
{
	if (f->asked_ns == 0)
		t->waiting++;
	f->asked_ns = now;
}

void
table_move(struct flow_table *t, struct held_flow *f, enum held_state state,
    uint64_t now)
{
	t->open -= counts_open(f->state) ? 1 : 0;
	t->open += counts_open(state) ? 1 : 0;
	f->state = state;
	f->began_ns = now;
	if (!counts_open(state))
		table_answer(t, f);
}

void
table_drop(struct flow_table *t, struct held_flow *f)
{
	table_answer(t, f);
	t->open -= counts_open(f->state) ? 1 : 0;
	HASH_DEL(t->table, f);
	free(f);
}

void
table_clear(struct flow_table *t)
{
	struct held_flow *f, *next;

	HASH_ITER(hh, t->table, f, next)
	{
		table_drop(t, f);
	}
}

struct held_flow *
table_enter(struct flow_table *t, const struct flow_key *flow,
    enum held_state state, uint64_t now, bool *forgotten)
{
	struct held_flow *f = table_find(t, flow);

	*forgotten = false;
	if (f == NULL) {
		/* uthash keeps the order of insertion: the oldest goes. */
		if (HASH_COUNT(t->table) >= t->capacity) {
			table_drop(t, t->table);
			*forgotten = true;
		}
		f = mem_new(sizeof(*f));
		f->flow = *flow;
		f->state = HELD_CLOSED;
		HASH_ADD(hh, t->table, flow, sizeof(f->flow), f);
	}
	table_move(t, f, state, now);
	f->used_ns = now;
	return f;
}

static uint64_t
life_ms(const struct held_flow *f, uint64_t idle_ms)
{
	switch (f->state) {
	case HELD_OPENING:
	case HELD_TRIED:
		return OPENING_MS;
	case HELD_HALF:
		return HALF_MS;
	case HELD_CLOSED:
		return CLOSED_MS;
	case HELD_OPEN:
		break;
	}
	return idle_ms;
}

void
table_expire(struct flow_table *t, uint64_t idle_ms, uint64_t now)
{
	struct held_flow *f, *next;

	HASH_ITER(hh, t->table, f, next)
	{
		if (now > f->used_ns + life_ms(f, idle_ms) * NS_PER_MS)
			table_drop(t, f);
	}
}

void
table_numbered(struct held_flow *f, uint32_t seq)
{
	f->target_seq = seq;
	f->target_known = true;
}

bool
table_fits(const struct held_flow *f, uint32_t ack)
{
	return !f->target_known ||
	       ack - f->target_seq + FIT_BYTES < 2 * FIT_BYTES;
}
