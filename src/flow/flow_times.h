/**
 * @file flow_times.h
 * When something first happened to a flow, for a bounded number of flows and a
 * bounded time.
 */
#ifndef PW_FLOW_TIMES_H
#define PW_FLOW_TIMES_H

#include "flow/packet.h"

#include <stdint.h>
#include <uthash.h>

/** A flow and a time. */
struct flow_time {
	struct flow_key flow;
	uint32_t ack; /**< the caller's acknowledgement number, which tells
			 apart two flows with the same key */
	uint64_t at_ns;
	uint64_t updated_ns; /**< latest record */
	UT_hash_handle hh;
};

/** A table of flows and times. */
struct flow_times {
	size_t capacity;  /**< the entry added first is dropped when there are
			     more */
	uint64_t keep_ms; /**< entries without a record for this long do not
			     count */
	struct flow_time *table;
};

/** Free the table. */
void flow_times_clear(struct flow_times *t);
/**
 * Record a time for a flow. An earlier time that still counts is kept.
 * @param at_ns not 0
 */
void flow_times_add(struct flow_times *t, const struct flow_key *flow,
    uint32_t ack, uint64_t at_ns, uint64_t now);
/** The same for a time that is age_ms ago; does nothing if it is 0. */
void flow_times_add_age(struct flow_times *t, const struct flow_key *flow,
    uint32_t ack, uint32_t age_ms, uint64_t now);
/** The time recorded for a flow; 0 for none. */
uint64_t flow_times_find(const struct flow_times *t,
    const struct flow_key *flow, uint32_t ack, uint64_t now);
/** Time in ms since the one recorded for a flow, at least 1; 0 for none. */
uint32_t flow_times_age_ms(const struct flow_times *t,
    const struct flow_key *flow, uint32_t ack, uint64_t now);
/** Remove the entry of a flow key, if there is one. */
void flow_times_remove(struct flow_times *t, const struct flow_key *flow);

#endif
