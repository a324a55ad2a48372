/**
 * @file document.h
 * Versions of the configuration as the operator writes them in the platform's
 * store, and as processes read them there and from each other.
 */
#ifndef PW_FLOWS_DOCUMENT_H
#define PW_FLOWS_DOCUMENT_H

#include "flow/message.h"
#include "flow/routes.h"

/** A route of a version. */
struct document_route {
	struct addr address;
	char service[FLOW_NAME_MAX]; /**< gets all new flows */
	int priority;		     /**< 0 is the highest; -1: not stated */
	unsigned latency_ms;	     /**< 0: not stated */
	unsigned timeout_ms;	     /**< 0: not stated */
};

/** A version of the configuration. */
struct document {
	uint64_t version;
	uint64_t idle_ms;
	unsigned cold_s;
	unsigned cold_per_s;
	const struct document_route *routes;
	size_t count;
	/** Services beside the first among which each route is split; they get
	 * no new flows. */
	unsigned idle_shares;
};

/**
 * Encode a version as the store returns it, and decode it as a balancer does;
 * then as it forwards it to others, and as these decode it.
 * @return false if it cannot be decoded
 */
bool document_pass(const struct document *d, struct routes *out);

#endif
