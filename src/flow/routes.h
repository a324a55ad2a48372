/**
 * @file routes.h
 * The routes of one version of the configuration: the services to which new
 * flows to a service address are assigned.
 */
#ifndef PW_ROUTES_H
#define PW_ROUTES_H

#include "base/str.h"

#include <uthash.h>

/** A service and its share of the flows of an address. */
struct route_share {
	uint32_t service; /**< flow_service_tag() */
	uint32_t weight;  /**< relative to the other shares; 0: no new flows */
};

/** Whether a request of a route may be run again. */
enum request_kind {
	REQUEST_UNKNOWN, /**< not stated: treated as non-idempotent */
	REQUEST_IDEMPOTENT,
	REQUEST_NON_IDEMPOTENT,
	REQUEST_DOWNLOAD, /**< idempotent, with a large answer */
	REQUEST_KINDS
};

/** Priority of a route that states none. */
#define ROUTE_PRIORITY_UNKNOWN (-1)

/** Route of one service address. */
struct flow_route {
	uint64_t at; /**< addr_pack() of the service address */
	struct route_share *shares;
	size_t count;
	int priority;	     /**< 0 is the highest; ROUTE_PRIORITY_UNKNOWN */
	uint32_t latency_ms; /**< target latency of a request; 0 if not stated
			      */
	uint32_t timeout_ms; /**< when a caller gives up; 0 if not stated */
	enum request_kind kind;
	UT_hash_handle hh;
};

/** Limits of a service's targets. */
struct service_limits {
	uint32_t service;	   /**< flow_service_tag() */
	uint32_t cold_ms;	   /**< for how long a target is cold */
	uint32_t cold_per_s_milli; /**< new flows a second that a cold target
				      bears, times 1000; 0: no limit */
	UT_hash_handle hh;
};

/** All routes of one version of the configuration. */
struct routes {
	uint64_t version; /**< 0 for none */
	uint64_t idle_ms; /**< flows that are idle for longer may be removed */
	struct flow_route *table;
	struct service_limits *services;
};

/** Free the routes and reset the struct. */
void routes_clear(struct routes *r);
/** Add the route of an address, without shares. An earlier one for the same
 * address is replaced. */
struct flow_route *routes_add(struct routes *r, struct addr at);
/** Add the limits of a service, or replace them. */
void routes_add_service(struct routes *r, const struct service_limits *limits);
/** Find the limits of a service; NULL when none are stated. */
const struct service_limits *routes_find_service(
    const struct routes *r, uint32_t service);
/**
 * Whether two versions limit the openings of cold targets equally. The first
 * version of a process differs from none.
 */
bool routes_same_limits(const struct routes *a, const struct routes *b);
/** Add a share to a route. */
void routes_add_share(struct flow_route *to, uint32_t service, uint32_t weight);
/**
 * Find the route of an address; NULL when there is none.
 * @param at addr_pack() of the address
 */
const struct flow_route *routes_find(const struct routes *r, uint64_t at);
/** Whether a route assigns new flows to a service. */
bool routes_accepts(const struct flow_route *route, uint32_t service);
/**
 * Choose a service by weight; the same hash gives the same service.
 * @param hash flow_hash()
 * @return index of the share; route->count when all weights are 0
 */
size_t routes_pick(const struct flow_route *route, uint64_t hash);

#endif
