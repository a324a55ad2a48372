#include "flow/table.h"

#include "base/clock.h"

#include <stdlib.h>

/** Entries of openings and probed flows are removed after this, in ms: the
 * caller gives an opening up sooner. */
#define OPENING_TIMEOUT_MS 2000
/** Closed flows are kept for this, in ms: eight retransmissions of the last
 * packet take no longer. */
#define CLOSED_TIMEOUT_MS 8000
/** Time in ms for the caller to answer the target's SYN-ACK. */
#define HALF_OPEN_TIMEOUT_MS 5000

struct flow_entry *
table_find(const struct flow_table *t, const struct flow_key *flow)
{
	struct flow_entry *f;

	HASH_FIND(hh, t->table, flow, sizeof(*flow), f);
	return f;
}

static bool
is_open(enum entry_state s)
{
	return s == ENTRY_HALF_OPEN || s == ENTRY_OPEN;
}

void
table_end_request(struct flow_table *t, struct flow_entry *f)
{
	if (f->request_ns == 0)
		return;
	f->request_ns = 0;
	t->waiting--;
	if (f->priority != 0)
		t->by_priority[f->priority - 1]--;
	f->priority = 0;
	if (f->overdue != 0)
		t->queue.overdue[f->overdue - 1]--;
	f->overdue = 0;
}

/* The flow ends: so does its request, whether at the target or held. */
static void
end_flow(struct flow_table *t, struct flow_entry *f)
{
	rq_drop_flow(&t->queue, &f->flow);
	table_end_request(t, f);
}

void
table_record_overdue(
    struct flow_table *t, struct flow_entry *f, unsigned priority)
{
	if (f->request_ns == 0 || f->overdue != 0)
		return;
	f->overdue = priority + 1;
	t->queue.overdue[priority]++;
}

uint32_t
table_at_target(const struct flow_table *t)
{
	return t->waiting - rq_count(&t->queue);
}

/* The target answers a retransmission by an acknowledgement alone. Counted as a
 * request, it would wait until the flow's next one. */
static bool
is_retransmission(const struct flow_entry *f, const struct flow_packet *p)
{
	uint32_t end = p->seq + (uint32_t)p->data;

	return f->caller_end_valid && (int32_t)(end - f->caller_end) <= 0;
}

bool
table_begins_request(const struct flow_entry *f, const struct flow_packet *p)
{
	return p->data > 0 && f->request_ns == 0 && !is_retransmission(f, p);
}

static void
begin_request(
    struct flow_table *t, struct flow_entry *f, const struct flow_packet *p)
{
	t->waiting++;
	if (p->priority < 0)
		return;
	f->priority = p->priority < RQ_PRIORITIES ? (unsigned)p->priority + 1
						  : RQ_PRIORITIES;
	t->by_priority[f->priority - 1]++;
}

void
table_record_caller_data(struct flow_table *t, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now)
{
	if (f->state == ENTRY_CLOSED || is_retransmission(f, p))
		return;
	f->caller_end = p->seq + (uint32_t)p->data;
	f->caller_end_valid = true;
	if (f->request_ns == 0)
		begin_request(t, f, p);
	f->request_ns = now;
}

void
table_set_state(struct flow_table *t, struct flow_entry *f,
    enum entry_state state, uint64_t now)
{
	t->open -= is_open(f->state) ? 1 : 0;
	t->open += is_open(state) ? 1 : 0;
	f->state = state;
	f->state_since_ns = now;
	f->stored = false;
	if (!is_open(state))
		end_flow(t, f);
}

void
table_remove(struct flow_table *t, struct flow_entry *f)
{
	end_flow(t, f);
	t->open -= is_open(f->state) ? 1 : 0;
	HASH_DEL(t->table, f);
	free(f);
}

void
table_clear(struct flow_table *t)
{
	struct flow_entry *f, *next;

	HASH_ITER(hh, t->table, f, next)
	{
		table_remove(t, f);
	}
}

bool
table_is_copy(const struct flow_entry *f, const struct flow_packet *p)
{
	return f != NULL && f->state != ENTRY_CLOSED && f->opening_seq_valid &&
	       f->opening_seq == p->seq;
}

bool
table_begins_flow(const struct flow_entry *f, const struct flow_packet *p)
{
	if (f == NULL || f->adopted || f->state == ENTRY_CLOSED ||
	    f->state == ENTRY_PROBED)
		return true;
	/* Of a flow whose opening was not seen, any copy may be one of it. */
	return f->opening_seq_valid ? f->opening_seq != p->seq : p->copy == 0;
}

/* Whether a change to a state begins a new flow. */
static bool
begins_flow(const struct flow_entry *f, enum entry_state to)
{
	if (to == ENTRY_HALF_OPEN)
		return f->state != ENTRY_OPENING && f->state != ENTRY_HALF_OPEN;
	return to == ENTRY_OPENING;
}

static void
forget_flow(struct flow_table *t, struct flow_entry *f)
{
	table_set_state(t, f, ENTRY_CLOSED, f->state_since_ns);
	*f = (struct flow_entry){
	    .flow = f->flow, .state = ENTRY_CLOSED, .via = f->via, .hh = f->hh};
}

struct flow_entry *
table_upsert(struct flow_table *t, const struct flow_key *flow,
    enum entry_state state, uint64_t now, bool *evicted)
{
	struct flow_entry *f = table_find(t, flow);

	*evicted = false;
	if (f == NULL) {
		/* uthash iterates in order of insertion: evict the oldest. */
		if (HASH_COUNT(t->table) >= t->capacity) {
			table_remove(t, t->table);
			*evicted = true;
		}
		f = mem_new(sizeof(*f));
		f->flow = *flow;
		f->state = ENTRY_CLOSED;
		HASH_ADD(hh, t->table, flow, sizeof(f->flow), f);
	}
	if (begins_flow(f, state))
		forget_flow(t, f);
	table_set_state(t, f, state, now);
	f->last_used_ns = now;
	return f;
}

bool
table_adopt(struct flow_table *t, const struct flow_key *flow,
    uint32_t caller_ack, uint64_t now)
{
	struct flow_entry *f;
	bool evicted;

	if (table_find(t, flow) != NULL || HASH_COUNT(t->table) >= t->capacity)
		return false;
	f = table_upsert(t, flow, ENTRY_OPEN, now, &evicted);
	f->adopted = true;
	f->state_since_ns = 0; /* before all heartbeats of the target */
	f->caller_ack = caller_ack;
	table_record_seq(f, caller_ack);
	f->stored = true;
	f->stored_ack = caller_ack;
	return true;
}

static uint64_t
idle_timeout_ms(const struct flow_entry *f, uint64_t idle_ms)
{
	switch (f->state) {
	case ENTRY_OPENING:
	case ENTRY_PROBED:
		return OPENING_TIMEOUT_MS;
	case ENTRY_HALF_OPEN:
		return HALF_OPEN_TIMEOUT_MS;
	case ENTRY_CLOSED:
		return CLOSED_TIMEOUT_MS;
	case ENTRY_OPEN:
		break;
	}
	return idle_ms;
}

void
table_expire(struct flow_table *t, uint64_t idle_ms, uint64_t now)
{
	struct flow_entry *f, *next;

	HASH_ITER(hh, t->table, f, next)
	{
		if (now >
		    f->last_used_ns + idle_timeout_ms(f, idle_ms) * NS_PER_MS)
			table_remove(t, f);
	}
}

void
table_record_opening(struct flow_entry *f, uint32_t seq)
{
	f->opening_seq = seq;
	f->opening_seq_valid = true;
}

void
table_record_seq(struct flow_entry *f, uint32_t seq)
{
	f->target_seq = seq;
	f->target_seq_valid = true;
}

uint32_t
table_caller_ack(const struct flow_entry *f)
{
	return f->caller_ack != 0 ? f->caller_ack : f->target_seq;
}

bool
table_is_outdated(const struct flow_entry *f, uint32_t ack)
{
	return f->adopted && !table_ack_matches(f, ack);
}

bool
table_ack_matches(const struct flow_entry *f, uint32_t ack)
{
	return !f->target_seq_valid || flow_acks_match(ack, f->target_seq);
}
