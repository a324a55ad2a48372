/**
 * @file routes.h
 * Which services a service address leads to, by one version of the
 * configuration.
 */
#ifndef PW_ROUTES_H
#define PW_ROUTES_H

#include "base/str.h"

#include <uthash.h>

/** Most services that one address is spread over. */
#define ROUTE_SPLIT_MAX 8

/** A service with its share of an address. */
struct route_share {
	uint32_t service; /**< flow_service_tag() */
	uint32_t weight;  /**< 0: gets no new flows */
};

/** Where new flows to one address go. */
struct flow_route {
	uint64_t at; /**< addr_pack() of the service address */
	struct route_share shares[ROUTE_SPLIT_MAX];
	size_t count;
	UT_hash_handle hh;
};

/** One version, whole. */
struct routes {
	uint64_t version; /**< 0 for none */
	uint64_t idle_ms; /**< a flow idle for longer may be forgotten */
	struct flow_route *table;
};

/** Free what a version holds. */
void routes_clear(struct routes *r);
/** The route of an address; a new, empty one is made if there is none. */
struct flow_route *routes_add(struct routes *r, struct addr at);
/** Give a service a share; false when there is no room. */
bool routes_share(struct flow_route *to, uint32_t service, uint32_t weight);
/** Find the route of an address, addr_pack(); NULL for none. */
const struct flow_route *routes_find(const struct routes *r, uint64_t at);
/**
 * Which service a flow belongs to; the same hash gives the same service.
 * @return index of the share; shares_count when all weights are 0
 */
size_t routes_pick(const struct flow_route *route, uint64_t hash);

#endif
