/**
 * @file request_queue.h
 * Requests that an agent holds back while its target has more requests than it
 * works on, so that those of high priority reach the target first. The module
 * decides which packets are held and which request is released next; the agent
 * delivers them. See docs/design/request-queue.md.
 *
 * Priorities are those of the balancers' marks, 0 is the highest. A request of
 * unknown priority counts as one of the lowest priority that competes.
 */
#ifndef PW_REQUEST_QUEUE_H
#define PW_REQUEST_QUEUE_H

#include "flow/message.h"

#include <uthash.h>

/** Longest time for which a request is held, in ms: half of the callers'
 * retransmission timeout of 200 ms, so that a held packet and the
 * acknowledgement of it arrive before the caller sends a copy. */
#define RQ_HOLD_MAX_MS 100
/** Most requests and packets that are held, and most bytes of packets. */
#define RQ_REQUESTS_MAX 256
#define RQ_PACKETS_MAX 512
#define RQ_BYTES_MAX 524288
/** Most packets of one request: a caller has at most 16 packets with data in
 * flight, and may send as many acknowledgements. */
#define RQ_REQUEST_PACKETS_MAX 32
/** Priorities that are told apart; lower ones count as the last. */
#define RQ_PRIORITIES FLOW_PRIORITIES

/** A held packet, with a copy of its bytes. */
struct queued_packet {
	struct flow_packet packet;
	struct queued_packet *next;
	char bytes[];
};

/** A held request: the packets of its flow since it began, in order. */
struct queued_request {
	struct flow_key flow;
	unsigned priority; /**< less than RQ_PRIORITIES */
	uint64_t held_ns;  /**< when it was received */
	uint64_t until_ns; /**< it is released then at the latest */
	uint64_t due_ns;   /**< its target latency has passed then */
	struct queued_packet *first;
	struct queued_packet *last;
	size_t packets;
	size_t bytes;
	UT_hash_handle hh;
};

/** The requests at the target. */
struct rq_load {
	uint32_t slots;	    /**< that the target works on at once; 0: unknown */
	uint32_t at_target; /**< requests delivered and not answered */
};

/** All held requests. */
struct request_queue {
	struct queued_request *table; /**< the oldest is first */
	size_t packets;
	size_t bytes;
	uint64_t seen_ns[RQ_PRIORITIES]; /**< latest request of each priority */
	uint32_t overdue[RQ_PRIORITIES]; /**< requests at the target that were
					    released by time */
	uint32_t passed; /**< requests of the highest priority released since
			    one of a lower priority got a place at the target */
	uint32_t share;	 /**< half requests that may still be released for this
			    share */
	uint64_t dropped_packets; /**< that were held when their flow ended */
};

/** What happens to a packet. */
enum rq_action {
	RQ_DELIVER,	  /**< deliver it */
	RQ_HOLD,	  /**< it is held */
	RQ_DROP_COPY,	  /**< drop it: a copy of a held packet */
	RQ_RELEASE_FIRST, /**< release what is held of its flow, then deliver it
			   */
	RQ_RELEASE_AND_DROP, /**< release what is held of its flow, and drop it:
				a copy of a held packet */
};

/** Why a request was released. */
enum rq_cause {
	RQ_BY_ORDER, /**< the target has room for it */
	RQ_BY_TIME,  /**< it was held for as long as it may be */
	RQ_BY_BOUND, /**< too many requests, packets or bytes are held */
};

/** Requests at the target from which on further ones are held. */
uint32_t rq_hold_limit(uint32_t slots);
/** Free all requests. */
void rq_clear(struct request_queue *q);
/** Number of held requests. */
uint32_t rq_count(const struct request_queue *q);
/** Whether a flow's request is held. */
bool rq_holds(const struct request_queue *q, const struct flow_key *flow);
/**
 * Handle a packet of a caller, on a flow that is open.
 * @param begins whether it begins a request
 */
enum rq_action rq_offer(struct request_queue *q, const struct flow_packet *p,
    bool begins, const struct rq_load *load, uint64_t now);
/**
 * Remove the request that is to be released now.
 * @return the request, to be freed by rq_free(); NULL when there is none
 */
struct queued_request *rq_take(struct request_queue *q,
    const struct rq_load *load, uint64_t now, enum rq_cause *cause);
/** Remove a flow's request, or the oldest one if flow is NULL; NULL when there
 * is none. */
struct queued_request *rq_take_flow(
    struct request_queue *q, const struct flow_key *flow);
/** Free a request that was removed. */
void rq_free(struct queued_request *r);
/** Drop a flow's request because the flow ended, and count its packets. @return
 * whether there was one */
bool rq_drop_flow(struct request_queue *q, const struct flow_key *flow);
/** When the next request is to be released by time; UINT64_MAX when none is
 * held. */
uint64_t rq_next_ns(const struct request_queue *q);

#endif
