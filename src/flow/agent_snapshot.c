#include "flow/agent_internal.h"

#include "base/event.h"

/** Most resets sent at a time for the flows of a snapshot; the others follow
 * with the next ticks. */
#define RESETS_PER_TICK 256

static const char *
fate_name(enum snapshot_fate fate)
{
	static const char *const names[] = {
	    "undecided", "held", "lost", "unknown"};

	return names[fate];
}

/* Whether the target has accepted a new flow with the same key. */
static bool
was_reopened(const struct fa *fa, const struct flow_key *flow)
{
	const struct flow_entry *f = table_find(&fa->flows, flow);

	return f != NULL && f->state != ENTRY_PROBED;
}

static void
reset_next(struct fa *fa)
{
	struct fa_recovery *r = &fa->recovery;

	for (size_t i = 0;
	     i < RESETS_PER_TICK && r->reset_count < r->stored.count; i++) {
		const struct snapshot_flow *f =
		    &r->stored.flows[r->reset_count++];

		if (was_reopened(fa, &f->flow))
			continue;
		ctr_inc(fa->ctr, CTR_RESET_AFTER_RESTART);
		fa->callbacks->reset(fa->ctx, &f->flow, f->caller_ack);
	}
	if (r->reset_count == r->stored.count)
		snapshot_clear(&r->stored);
}

/* The target still runs, and holds the flows that have not ended since. */
static void
adopt_flows(struct fa *fa, uint64_t now)
{
	const struct snapshot *s = &fa->recovery.stored;
	size_t count = 0;

	for (size_t i = 0; i < s->count; i++) {
		if (table_adopt(&fa->flows, &s->flows[i].flow,
			s->flows[i].caller_ack, now))
			count++;
	}
	ctr_add(fa->ctr, CTR_FLOWS_ADOPTED, count);
}

void
fa_continue_recovery(struct fa *fa, uint64_t now)
{
	struct fa_recovery *r = &fa->recovery;

	if (r->stored.target_started_ms == 0)
		return;
	if (r->fate == SNAPSHOT_UNDECIDED) {
		r->fate = snapshot_decide(&r->stored, &fa->target, now);
		if (r->fate == SNAPSHOT_UNDECIDED)
			return;
		event("snapshot_decided", "s:s, s:i, s:I, s:I", "fate",
		    fate_name(r->fate), "flows", (int)r->stored.count,
		    "stored_started_ms",
		    (json_int_t)r->stored.target_started_ms, "started_ms",
		    (json_int_t)fa->target.last_heartbeat.started_ms);
	}
	if (r->fate == SNAPSHOT_LOST) {
		reset_next(fa);
		return;
	}
	if (r->fate == SNAPSHOT_HELD)
		adopt_flows(fa, now);
	snapshot_clear(&r->stored);
}

void
fa_handle_stored_snapshot(struct fa *fa, struct snapshot *s, uint64_t now)
{
	fa->recovery.schedule.previous_read = true;
	fa->recovery.stored = *s;
	*s = (struct snapshot){0};
	fa_continue_recovery(fa, now);
}

void
fa_write_snapshot(struct fa *fa, uint64_t now)
{
	struct snapshot_schedule *w = &fa->recovery.schedule;
	struct snapshot s;

	if (snapshot_take(&s, &fa->flows, &fa->target) &&
	    snapshot_is_due(w, &s, now)) {
		snapshot_begin_write(w, &fa->flows, &s, now);
		ctr_inc(fa->ctr, CTR_SNAPSHOTS);
		fa->callbacks->write_snapshot(fa->ctx, &s);
	}
	snapshot_clear(&s);
}

void
fa_handle_snapshot_written(struct fa *fa, bool ok)
{
	snapshot_end_write(&fa->recovery.schedule, &fa->flows, ok);
}
