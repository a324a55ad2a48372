/**
 * @file config_check.h
 * Check of a configuration before it is sent, and the differences between two
 * configurations with their effect on open flows.
 */
#ifndef PW_CONFIG_CHECK_H
#define PW_CONFIG_CHECK_H

#include "flow/routes.h"

/** A service and its share of a route. */
struct config_share {
	const char *service; /**< NULL if malformed */
	uint32_t weight;
	bool weight_valid; /**< false if malformed */
};

/** A route as written; the strings are owned elsewhere. */
struct config_route {
	const char *name; /**< NULL if not stated */
	struct addr address;
	bool address_valid;
	bool shares_valid; /**< false if the list of shares is malformed */
	struct config_share *shares;
	size_t share_count;
	enum request_kind kind;
	int priority;	     /**< ROUTE_PRIORITY_UNKNOWN if not stated */
	uint32_t latency_ms; /**< 0 if not stated */
	uint32_t timeout_ms; /**< 0 if not stated */
};

/** A service's limits as written. */
struct config_service {
	const char *name; /**< NULL if malformed */
	double cold_s;
	double cold_per_s;
};

/** Names of a configuration's parts in its document, for places. */
struct config_names {
	const char *version;
	const char *routes;
	const char *services;
	const char *limits;
};

/** A configuration as written. Indexes are those of the document. */
struct config_description {
	struct config_names names;
	uint64_t version;
	uint64_t idle_ms; /**< 0 if not stated */
	struct config_route *routes;
	size_t route_count;
	struct config_service *services;
	size_t service_count;
};

/** A fault of a configuration. */
struct config_finding {
	bool error; /**< otherwise a warning */
	char *place;
	char *reason;
};

/** List of findings; zeroed when empty. */
struct config_findings {
	struct config_finding *items;
	size_t count;
	size_t errors;
};

/** A difference between two configurations. */
struct config_difference {
	char *place;
	char *change;
	const char *effect; /**< on open flows */
};

/** List of differences; zeroed when empty. */
struct config_differences {
	struct config_difference *items;
	size_t count;
};

/** Add a finding. Control characters in its text are replaced by '?'. */
void config_add_finding(struct config_findings *to, bool error,
    const char *place, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
/** Add the findings on a description that has been read. */
void config_check(
    const struct config_description *d, struct config_findings *out);
/** Add the differences between the configuration in force and the next one. */
void config_compare(const struct config_description *in_force,
    const struct config_description *next, struct config_differences *out);
/** Format a place such as `routes[3] "r-a3"`; name may be NULL. free() it. */
char *config_place(const char *list, size_t index, const char *name);
/** Free the findings and reset the list. */
void config_findings_clear(struct config_findings *f);
/** Free the differences and reset the list. */
void config_differences_clear(struct config_differences *d);

#endif
