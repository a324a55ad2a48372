#include "flow/snapshot.h"

#include "base/clock.h"

#include <stdlib.h>

/** Least age in ms of a flow in a snapshot, at the target's latest heartbeat.
 * Flows of a single request mostly end sooner. A heartbeat may also have waited
 * in the agent's socket, for less than this, while the target was restarted; it
 * shows nothing about flows that began since. */
#define FLOW_AGE_MIN_MS 2000
/** A stored acknowledgement number is old when the caller has acknowledged this
 * many bytes since: a caller ignores a reset that is 76,800 bytes behind. */
#define ACK_PROGRESS_MAX 38400
/** Shortest interval between two writes, in ms. */
#define WRITE_INTERVAL_MS 2000
/** A snapshot is written when the flows that are missing in the latest one,
 * times the ms since it was written, reach this: the more callers a loss of
 * power would leave without a reset, the sooner. The platform counts each
 * write. */
#define MISSING_FLOW_MS_MAX 200000
/** A missing flow waits for this at most, in ms, unless the snapshot is large
 * or writes fail. */
#define MISSING_MAX_MS 15000
/** Longest interval, in ms. */
#define WRITE_INTERVAL_MAX_MS 60000
/** The interval grows with the snapshot, so that an agent writes at most this
 * many bytes/s. */
#define WRITE_BYTES_PER_S 2000
/** Size of a flow in a stored snapshot, in bytes. */
#define FLOW_BYTES 27
/** Most failed writes that lengthen the interval; each doubles it. */
#define FAILURES_MAX 5

void
snapshot_clear(struct snapshot *s)
{
	free(s->flows);
	*s = (struct snapshot){0};
}

/* Whether the latest heartbeat shows that the target holds a flow. */
static bool
is_confirmed(const struct flow_entry *f, const struct target *target)
{
	return f->state == ENTRY_OPEN && !f->unconfirmed &&
	       f->state_since_ns + FLOW_AGE_MIN_MS * NS_PER_MS <=
		   target->heartbeat_ns;
}

static bool
is_missing(const struct flow_entry *f)
{
	return !f->stored ||
	       table_caller_ack(f) - f->stored_ack > ACK_PROGRESS_MAX;
}

bool
snapshot_take(struct snapshot *out, const struct flow_table *flows,
    const struct target *target)
{
	const struct flow_entry *f, *next;

	*out = (struct snapshot){.target_id = target->last_heartbeat.id,
	    .target_started_ms = target->last_heartbeat.started_ms};
	if (out->target_id == 0 || out->target_started_ms == 0 ||
	    target->ended_ns != 0 || target->refused)
		return false;
	out->flows = mem_grow(NULL, flows->open + 1, sizeof(*out->flows));
	HASH_ITER(hh, flows->table, f, next)
	{
		if (!is_confirmed(f, target))
			continue;
		out->flows[out->count++] =
		    (struct snapshot_flow){f->flow, table_caller_ack(f)};
		out->missing += is_missing(f) ? 1 : 0;
	}
	return true;
}

enum snapshot_fate
snapshot_decide(
    const struct snapshot *s, const struct target *target, uint64_t now)
{
	const struct target_heartbeat *hb = &target->last_heartbeat;

	if (target->refused)
		return SNAPSHOT_LOST;
	/* A target that is silent for long may still run. */
	if (hb->id == 0)
		return SNAPSHOT_UNDECIDED;
	if (target_has_ended(target, now))
		return SNAPSHOT_LOST;
	if (hb->started_ms > s->target_started_ms)
		return SNAPSHOT_LOST;
	return hb->started_ms == s->target_started_ms && hb->id == s->target_id
		   ? SNAPSHOT_HELD
		   : SNAPSHOT_UNKNOWN;
}

/* Time between two writes while flows are missing in the latest snapshot. */
static uint64_t
interval_ms(const struct snapshot_schedule *w, const struct snapshot *s)
{
	uint64_t ms = MISSING_FLOW_MS_MAX / s->missing;
	uint64_t size_ms = s->count * FLOW_BYTES * 1000 / WRITE_BYTES_PER_S;

	if (ms > MISSING_MAX_MS)
		ms = MISSING_MAX_MS;
	if (ms < WRITE_INTERVAL_MS)
		ms = WRITE_INTERVAL_MS;
	if (ms < size_ms)
		ms = size_ms;
	ms <<= w->failures;
	return ms < WRITE_INTERVAL_MAX_MS ? ms : WRITE_INTERVAL_MAX_MS;
}

bool
snapshot_is_due(
    const struct snapshot_schedule *w, const struct snapshot *s, uint64_t now)
{
	if (!w->previous_read || w->pending || s->missing == 0)
		return false;
	return w->began_ns == 0 ||
	       now >= w->began_ns + interval_ms(w, s) * NS_PER_MS;
}

void
snapshot_begin_write(struct snapshot_schedule *w, struct flow_table *flows,
    const struct snapshot *s, uint64_t now)
{
	w->pending = true;
	w->began_ns = now;
	for (size_t i = 0; i < s->count; i++) {
		struct flow_entry *f = table_find(flows, &s->flows[i].flow);

		if (f == NULL)
			continue;
		f->stored = true;
		f->stored_ack = s->flows[i].caller_ack;
	}
}

void
snapshot_end_write(
    struct snapshot_schedule *w, struct flow_table *flows, bool ok)
{
	struct flow_entry *f, *next;

	w->pending = false;
	if (ok) {
		w->failures = 0;
		return;
	}
	if (w->failures < FAILURES_MAX)
		w->failures++;
	HASH_ITER(hh, flows->table, f, next)
	{
		f->stored = false;
	}
}
