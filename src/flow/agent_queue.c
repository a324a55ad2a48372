#include "flow/agent_internal.h"

#include "base/clock.h"
#include "base/event.h"

/** A time in which requests are held ends when none has been held for this
 * long, in ms, so that a short gap does not add log lines. */
#define HOLDING_END_MS 1000

static struct rq_load
current_load(const struct fa *fa)
{
	const struct target *t = &fa->target;
	bool holds = fa->leaving_ns == 0 && t->ended_ns == 0;

	return (struct rq_load){.slots = holds ? t->last_heartbeat.slots : 0,
	    .at_target = table_at_target(&fa->flows)};
}

/* ---- release ---- */

static void
release(
    struct fa *fa, struct queued_request *r, enum rq_cause cause, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &r->flow);

	latency_record(&fa->held, now - r->held_ns);
	if (now - r->held_ns > fa->holding.longest_ns)
		fa->holding.longest_ns = now - r->held_ns;
	if (cause != RQ_BY_ORDER) {
		ctr_inc(fa->ctr, cause == RQ_BY_TIME ? CTR_QUEUE_BY_TIME
						     : CTR_QUEUE_BY_BOUND);
		fa->holding.by_time++;
		table_record_overdue(&fa->flows, f, r->priority);
	}
	for (struct queued_packet *h = r->first; h != NULL; h = h->next)
		fa_pass_to_target(fa, f, &h->packet, now);
	rq_free(r);
}

void
fa_release_due(struct fa *fa, uint64_t now)
{
	struct rq_load load = current_load(fa);
	struct queued_request *r;
	enum rq_cause cause;

	while ((r = rq_take(&fa->flows.queue, &load, now, &cause)) != NULL) {
		release(fa, r, cause, now);
		load.at_target++;
	}
}

uint64_t
fa_next_release_ns(const struct fa *fa)
{
	return rq_next_ns(&fa->flows.queue);
}

/* ---- packets of callers ---- */

static void
record_held(struct fa *fa, uint64_t now)
{
	struct fa_holding *h = &fa->holding;

	ctr_inc(fa->ctr, CTR_QUEUE_HELD);
	if (!h->active) {
		*h = (struct fa_holding){.active = true,
		    .began_ns = now,
		    .dropped_packets = h->dropped_packets};
		event("holding_began", "s:i, s:i", "waiting",
		    (int)fa->flows.waiting, "slots",
		    (int)fa->target.last_heartbeat.slots);
	}
	h->last_ns = now;
	h->held++;
}

void
fa_hold_or_pass(struct fa *fa, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now)
{
	struct request_queue *q = &fa->flows.queue;
	const struct rq_load load = current_load(fa);
	/* A flow that the target may not hold is settled by its packets. */
	bool begins = f->state == ENTRY_OPEN && !f->unconfirmed &&
		      !f->adopted && !p->probe &&
		      (p->flags & (FLOW_SYN | FLOW_RST)) == 0 &&
		      table_begins_request(f, p);
	enum rq_action action = rq_offer(q, p, begins, &load, now);

	if (p->data > 0) {
		fa_update_load(fa, now);
		table_record_caller_data(&fa->flows, f, p, now);
	}
	if (action == RQ_RELEASE_FIRST || action == RQ_RELEASE_AND_DROP)
		release(fa, rq_take_flow(q, &f->flow), RQ_BY_BOUND, now);
	if (action == RQ_DELIVER || action == RQ_RELEASE_FIRST)
		fa_pass_to_target(fa, f, p, now);
	else if (action != RQ_HOLD)
		ctr_inc(fa->ctr, CTR_QUEUE_COPIES);
	else if (begins)
		record_held(fa, now);
}

/* ---- end of the target, log ---- */

void
fa_drop_held(struct fa *fa, uint64_t now)
{
	struct request_queue *q = &fa->flows.queue;

	fa_update_load(fa, now);
	while (q->table != NULL) {
		struct flow_entry *f = table_find(&fa->flows, &q->table->flow);

		rq_drop_flow(q, &f->flow);
		table_end_request(&fa->flows, f);
	}
}

void
fa_tick_holding(struct fa *fa, uint64_t now)
{
	const struct request_queue *q = &fa->flows.queue;
	struct fa_holding *h = &fa->holding;
	uint64_t dropped = q->dropped_packets - h->dropped_packets;

	ctr_add(fa->ctr, CTR_QUEUE_DROPPED, dropped);
	h->dropped_packets = q->dropped_packets;
	if (!h->active || q->table != NULL ||
	    !fa_has_elapsed(h->last_ns, HOLDING_END_MS, now))
		return;
	h->active = false;
	event("holding_ended", "s:I, s:I, s:I, s:I", "ms",
	    (json_int_t)((h->last_ns - h->began_ns) / NS_PER_MS), "requests",
	    (json_int_t)h->held, "by_time", (json_int_t)h->by_time,
	    "longest_ms", (json_int_t)(h->longest_ns / NS_PER_MS));
}
