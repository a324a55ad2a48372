#include "flow/target.h"

#include "base/clock.h"

/** Missed heartbeats after which a target counts as silent. */
#define HEARTBEATS_MISSED_MAX 3
/** Age of the latest heartbeat, in percent of the period, from which a target
 * may have restarted unnoticed. */
#define LATE_PERIODS_PERCENT 150
/** Time in ms for which a target may still send packets after it announced its
 * end. */
#define END_GRACE_MS 500

static uint64_t
heartbeat_timeout_ns(const struct target *t)
{
	return HEARTBEATS_MISSED_MAX * t->period_ms * NS_PER_MS;
}

static bool
heartbeat_is_overdue(const struct target *t, uint64_t now)
{
	return now > t->heartbeat_ns + heartbeat_timeout_ns(t);
}

/* Whether a heartbeat is of an incarnation before the current one. */
static bool
is_earlier_incarnation(
    const struct target *t, const struct target_heartbeat *hb, uint64_t now)
{
	/*
	 * A target whose clock was set back must not be rejected for ever: its
	 * heartbeat counts once those of the current incarnation are overdue.
	 */
	return hb->started_ms < t->last_heartbeat.started_ms &&
	       !heartbeat_is_overdue(t, now);
}

static bool
is_same_incarnation(const struct target *t, const struct target_heartbeat *hb)
{
	return hb->id == t->last_heartbeat.id &&
	       (hb->started_ms == t->last_heartbeat.started_ms ||
		   hb->started_ms == 0);
}

static enum heartbeat_result
handle_end(struct target *t, const struct target_heartbeat *hb, uint64_t now)
{
	if (hb->id != t->last_heartbeat.id)
		return HEARTBEAT_STALE;
	if (t->ended_ns == 0)
		t->ended_ns = now;
	return HEARTBEAT_ACCEPTED;
}

enum heartbeat_result
target_handle_heartbeat(
    struct target *t, const struct target_heartbeat *hb, uint64_t now)
{
	bool first = t->last_heartbeat.id == 0;
	bool same = !first && is_same_incarnation(t, hb);

	if (hb->state == TARGET_ABSENT)
		return handle_end(t, hb, now);
	if (hb->service != t->service || !addr_eq(hb->address, t->address))
		return HEARTBEAT_MISMATCH;
	if (same && hb->sequence <= t->last_heartbeat.sequence)
		return HEARTBEAT_STALE;
	if (!first && !same && is_earlier_incarnation(t, hb, now))
		return HEARTBEAT_STALE;
	t->last_heartbeat = *hb;
	t->heartbeat_ns = now;
	/* The remaining time is stated in whole ms, rounded down. */
	t->cold_until_ns = hb->cold_ms > 0
			       ? now + (hb->cold_ms + UINT64_C(1)) * NS_PER_MS
			       : now;
	/* The end may have been that of an earlier process of the same name:
	 * after a while, a heartbeat is no late one. */
	if (same && t->ended_ns != 0 &&
	    now <= t->ended_ns + heartbeat_timeout_ns(t))
		return HEARTBEAT_STALE;
	t->ended_ns = 0;
	t->suspected = false;
	t->refused = false;
	return first || same ? HEARTBEAT_ACCEPTED : HEARTBEAT_NEW_INCARNATION;
}

void
target_record_packet(struct target *t, uint64_t now)
{
	t->last_packet_ns = now;
	t->suspected = false;
	t->refused = false;
}

void
target_set_refused(struct target *t)
{
	t->refused = true;
	t->listens = false;
}

void
target_set_listens(struct target *t)
{
	t->listens = true;
}

void
target_suspect(struct target *t, uint64_t sent_ns)
{
	if (t->last_packet_ns < sent_ns)
		t->suspected = true;
}

bool
target_is_fully_observed(const struct target *t, uint64_t now)
{
	uint64_t earlier_count =
	    t->last_heartbeat.sequence > 0 ? t->last_heartbeat.sequence - 1 : 0;

	return now >=
	       t->agent_started_ns + earlier_count * t->period_ms * NS_PER_MS;
}

/*
 * Whether there is no sign of a target. One that sent a packet or accepted a
 * connection runs, and may hold flows of a previous process of the agent, even
 * if its heartbeats do not arrive.
 */
static bool
is_missing(const struct target *t, uint64_t now)
{
	return t->last_heartbeat.id == 0 && t->last_packet_ns == 0 &&
	       !t->listens &&
	       now > t->agent_started_ns + heartbeat_timeout_ns(t);
}

bool
target_may_be_cold(const struct target *t, uint64_t now)
{
	return now < t->cold_until_ns ||
	       now > t->heartbeat_ns +
			 t->period_ms * NS_PER_MS * LATE_PERIODS_PERCENT / 100;
}

enum target_state
target_state_at(const struct target *t, uint64_t now)
{
	if (t->refused)
		return TARGET_ABSENT;
	if (t->last_heartbeat.id == 0)
		return is_missing(t, now) ? TARGET_ABSENT : TARGET_UNKNOWN;
	if (t->ended_ns != 0)
		return TARGET_ABSENT;
	if (t->last_heartbeat.state == TARGET_LEAVING)
		return TARGET_LEAVING;
	if (t->suspected)
		return TARGET_SILENT;
	if (heartbeat_is_overdue(t, now) &&
	    now > t->last_packet_ns + heartbeat_timeout_ns(t))
		return TARGET_SILENT;
	return TARGET_READY;
}

bool
target_has_ended(const struct target *t, uint64_t now)
{
	if (t->refused)
		return true;
	if (t->last_heartbeat.id == 0)
		return is_missing(t, now);
	return t->ended_ns != 0 && now > t->ended_ns + END_GRACE_MS * NS_PER_MS;
}
