/**
 * @file snapshot.h
 * A snapshot of the flows that an agent's target holds. The agent keeps one in
 * the store while it runs, and reads it when it starts. After a loss of power
 * both the agent and its target have lost the flows, but the callers have not
 * noticed. If the target is a later incarnation than the one in the snapshot,
 * the agent resets these flows, so that their callers open new ones instead of
 * sending their next request into nothing. If the target still runs, the agent
 * adds the flows to its table.
 *
 * A snapshot never lists a flow under an incarnation before the one that holds
 * it. It therefore stays correct however old it is: a flow in it is lost as
 * soon as a later incarnation runs at the target's address.
 */
#ifndef PW_SNAPSHOT_H
#define PW_SNAPSHOT_H

#include "flow/table.h"
#include "flow/target.h"

/** A flow in a snapshot. */
struct snapshot_flow {
	struct flow_key flow;
	uint32_t caller_ack; /**< the caller's last acknowledgement number */
};

/** A snapshot. */
struct snapshot {
	uint64_t target_id;	    /**< as in struct target_heartbeat */
	uint64_t target_started_ms; /**< 0 for no snapshot */
	struct snapshot_flow *flows;
	size_t count;
	size_t missing; /**< of them, those that the latest snapshot written
			   lacks, or has with an old number */
};

/** When snapshots are written. */
struct snapshot_schedule {
	bool previous_read; /**< the previous process's snapshot was read, and
			       may be overwritten */
	bool pending;	    /**< a write is in progress */
	unsigned failures;  /**< writes that failed since the last success */
	uint64_t began_ns;  /**< start of the latest write; 0 for none */
};

/** What has become of the flows in a snapshot. */
enum snapshot_fate {
	SNAPSHOT_UNDECIDED, /**< the target has not shown which incarnation
			       runs */
	SNAPSHOT_HELD,	    /**< the target still runs; it holds those that
			       have not ended since */
	SNAPSHOT_LOST,	    /**< a later incarnation runs, or none */
	SNAPSHOT_UNKNOWN,   /**< it cannot be told */
};

/** Free the flows of a snapshot and make it empty. */
void snapshot_clear(struct snapshot *s);
/**
 * Take a snapshot of the flows that the target holds by its latest heartbeat,
 * but for those that were established shortly before. To be called when a
 * heartbeat has been accepted.
 * @return false when the target has not stated its start, or has ended
 */
bool snapshot_take(struct snapshot *out, const struct flow_table *flows,
    const struct target *target);
/** What has become of the flows in a snapshot of an earlier process. */
enum snapshot_fate snapshot_decide(
    const struct snapshot *s, const struct target *target, uint64_t now);
/** Whether to write a snapshot now. */
bool snapshot_is_due(
    const struct snapshot_schedule *w, const struct snapshot *s, uint64_t now);
/** Record the start of a write: its flows count as stored. */
void snapshot_begin_write(struct snapshot_schedule *w, struct flow_table *flows,
    const struct snapshot *s, uint64_t now);
/** Record the end of a write. After a failure no flow counts as stored. */
void snapshot_end_write(
    struct snapshot_schedule *w, struct flow_table *flows, bool ok);

#endif
