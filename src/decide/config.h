/**
 * @file config.h
 * Configuration as the operator writes it: services, their dependencies and
 * limits. A text is parsed and checked as a whole. Every error message has the
 * line, the key and the value.
 */
#ifndef PW_CONFIG_H
#define PW_CONFIG_H

#include "base/status.h"
#include "base/str.h"

/** Buffer size in bytes for a service's name, with the NUL. */
#define CFG_NAME_MAX 48
/** Most dependencies of a service. */
#define CFG_DEPENDS_MAX 16
/** Largest text in bytes. An object in the platform is limited to 1 MB. */
#define CFG_TEXT_MAX 900000

/** What a service prefers where unbroken flows and balanced load conflict. */
enum cfg_weigh {
	CFG_WEIGH_FLOWS,   /**< a flow stays at its owner */
	CFG_WEIGH_BALANCE, /**< an idle flow may move to a less loaded target */
};

/** A service. */
struct cfg_service {
	char name[CFG_NAME_MAX];
	uint64_t id;	  /**< cfg_service_id(name) */
	struct addr addr; /**< endpoint for its callers */
	char depends[CFG_DEPENDS_MAX][CFG_NAME_MAX];
	size_t depends_count;
	enum cfg_weigh weigh;
	uint32_t slots;		/**< most concurrent requests at a target */
	uint32_t connections;	/**< most concurrent flows at a target */
	uint32_t queue;		/**< most requests that wait at an agent */
	uint32_t deadline_ms;	/**< time limit of a request in ms */
	uint32_t leave_ms;	/**< drain time of a leaving target in ms */
	uint32_t retry_percent; /**< retry budget in percent of successful
				   requests */
	unsigned line;		/**< line of the text where it begins */
};

/** A configuration. */
struct cfg {
	uint64_t version; /**< 0 if there is none */
	char *text;	  /**< as submitted, owned */
	size_t text_len;
	struct cfg_service *services; /**< owned */
	size_t count;
};

/** Identifier of a service, derived from its name; never 0. */
uint64_t cfg_service_id(struct str name);
/**
 * Parse and check a text.
 * @param text_name name of the text in error messages
 * @param out set if the result is STATUS_OK; release with cfg_clear()
 * @return STATUS_INVALID with a line per error if the text is wrong
 */
struct status cfg_parse(
    struct str text, const char *text_name, struct cfg *out);
/** Free the memory of a configuration and set it to 0. */
void cfg_clear(struct cfg *c);
/** Find a service by its identifier; NULL if there is none. */
const struct cfg_service *cfg_find(const struct cfg *c, uint64_t id);
/**
 * Write a service as text for cfg_parse_service().
 * @return length in bytes, or 0 if cap is too small
 */
size_t cfg_write_service(const struct cfg_service *s, char *buf, size_t cap);
/** Parse a text with one service; its dependencies are not checked. */
struct status cfg_parse_service(struct str text, struct cfg_service *out);
/** Write the names of services that were added, removed or changed from a to b,
 * or "no service". Truncated to cap bytes. */
void cfg_list_differences(
    const struct cfg *a, const struct cfg *b, char *buf, size_t cap);

#endif
