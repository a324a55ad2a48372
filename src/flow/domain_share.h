/**
 * @file domain_share.h
 * How many new flows of a service leave the balancer's failure domain, and to
 * which domain. A share of the flows leaves while the wait at the near targets
 * costs callers more than the way to another domain. All decisions are pure.
 */
#ifndef PW_DOMAIN_SHARE_H
#define PW_DOMAIN_SHARE_H

#include "flow/domain_load.h"
#include "flow/routes.h"

/** Shares and rates are in millionths. */
#define DOMAIN_SHARE_WHOLE 1000000
/** Price of a KiB that is sent between domains, in us, unless it is set. */
#define DOMAIN_SHARE_BYTE_PRICE_US 1000

/** Flows by what their answers carry. Heavy ones leave last. */
enum flow_class {
	FLOW_CLASS_LIGHT,
	FLOW_CLASS_HEAVY,
	FLOW_CLASSES
};

/** Delay to the agents of a failure domain. */
struct domain_delay {
	uint32_t tag;
	uint32_t min_us;      /**< least time from forwarding an opening until
				 it is accepted, in the present window */
	uint32_t previous_us; /**< the same in the window before */
	uint64_t window_ns;   /**< when the present window began; 0: no sample
			       */
};

/** Flows of a service that leave for one failure domain. */
struct domain_part {
	uint32_t tag;
	char name[FLOW_NAME_MAX];
	/** Parts of the flows of each class, in millionths. */
	uint32_t wanted[FLOW_CLASSES];
	uint32_t share[FLOW_CLASSES];
	/** The share that the present load reports are expected to show. */
	uint32_t reported[FLOW_CLASSES];
	uint32_t logged; /**< share of all flows in the latest log line */
	uint64_t logged_ns;
};

/** Decisions for one service. */
struct service_share {
	uint32_t service; /**< flow_service_tag() */
	bool leaving;	  /**< flows leave, or are about to */
	uint64_t updated_ns;
	uint32_t flows_milli[FLOW_CLASSES]; /**< recent flows, times 1000 */
	uint32_t latency_us[FLOW_CLASSES];  /**< their mean target latency */
	size_t count;
	struct domain_part parts[DOMAIN_LOAD_MAX];
	UT_hash_handle hh;
};

/** State of a balancer. */
struct domain_share {
	uint32_t own_tag; /**< its failure domain */
	uint32_t byte_price_us;
	uint64_t started_ns;
	struct domain_delay own;
	size_t delay_count;
	struct domain_delay delays[DOMAIN_LOAD_MAX];
	struct service_share *services;
};

/** Initialize the state of a balancer. @param own_tag tag of its domain */
void domain_share_init(struct domain_share *s, uint32_t own_tag,
    uint32_t byte_price_us, uint64_t now);
/** Free the tables. */
void domain_share_clear(struct domain_share *s);
/** Record the time from forwarding an opening to an agent until it accepted. */
void domain_share_record_accepted(
    struct domain_share *s, uint32_t tag, uint64_t took_ns, uint64_t now);
/** Round trip to another failure domain beyond that to the own one, in us. */
uint64_t domain_share_delay_us(const struct domain_share *s, uint32_t tag);
/** Cost of serving a request in a failure domain because of delay and bytes, in
 * us; 0 in the own one. */
uint64_t domain_share_cost_us(
    const struct domain_share *s, uint32_t tag, enum request_kind kind);
/** Count a new flow of a service. */
void domain_share_record_flow(
    struct domain_share *s, uint32_t service, const struct flow_route *route);
/**
 * The failure domain for which a flow is to leave; the same for the same flow
 * while the shares are the same.
 * @param flow flow_hash()
 * @return its tag; 0 to stay
 */
uint32_t domain_share_pick(const struct domain_share *s, uint32_t service,
    enum request_kind kind, uint64_t flow);
/**
 * Periodic work: compare the loads of the failure domains, and move the shares.
 * @param evacuated get no flows
 */
void domain_share_tick(struct domain_share *s, const struct agents *agents,
    const struct evacuation *evacuated, uint64_t now);

#endif
