/**
 * @file admission.h
 * Whether a new flow is admitted. When more callers come than all targets of a
 * service can serve, each further flow makes the answers of others late. The
 * callers of some are then refused at once, those of low priority first, so
 * that the others are served in time.
 */
#ifndef PW_ADMISSION_H
#define PW_ADMISSION_H

#include "flow/place.h"
#include "flow/routes.h"

#include <uthash.h>

/** Priorities that are told apart; larger numbers count as the last one. */
#define ADMISSION_PRIORITIES 8

/** Refusals after a longer time without any are reported in the log, in ms. */
#define ADMISSION_CALM_MS 1000

/** Outcome for a new flow. */
enum admission {
	ADMISSION_ADMITTED,
	ADMISSION_NO_ROOM,  /**< no target can serve it */
	ADMISSION_RESERVED, /**< the room left is for higher priorities */
};

/** Flows of one priority, as numbers that halve in a fixed time. */
struct admission_class {
	uint64_t arrived_milli;	 /**< openings, times 1000 */
	uint64_t admitted_milli; /**< admitted openings, times 1000 */
	uint64_t updated_ns;
	uint64_t closed_until_ns; /**< there is no room until then */
};

/** What a balancer knows of the openings for one service. */
struct admission_service {
	uint32_t service; /**< flow_service_tag() */
	struct admission_class classes[ADMISSION_PRIORITIES];
	uint64_t refused_ns; /**< latest refusal */
	UT_hash_handle hh;
};

/** State of a balancer's admission. */
struct admissions {
	struct admission_service *services;
};

/** A new flow. */
struct admission_request {
	uint32_t service; /**< flow_service_tag() */
	const struct flow_route *route;
	const struct agent_view *best;	       /**< chosen by place_choose() */
	const struct place_estimate *estimate; /**< from the same choice */
};

/** Free the tables. */
void admissions_clear(struct admissions *a);
/** Decide whether to admit a new flow to a target. */
enum admission admission_decide(
    struct admissions *a, const struct admission_request *req, uint64_t now);
/**
 * Record the outcome for an opening; once for each.
 * @return whether it is the first refusal for ADMISSION_CALM_MS
 */
bool admission_record(struct admissions *a, uint32_t service,
    const struct flow_route *route, bool admitted, uint64_t now);

#endif
