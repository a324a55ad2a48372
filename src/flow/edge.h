/**
 * @file edge.h
 * What differs from one platform to another, as a table of functions: the
 * head of a packet, how a target speaks of itself, and the platform's store.
 * An edge translates and decides nothing.
 */
#ifndef PW_FLOW_EDGE_H
#define PW_FLOW_EDGE_H

#include "base/status.h"
#include "flow/routes.h"
#include "flow/target.h"

/** Longest path of a call to the store, with its NUL. */
#define EDGE_PATH_MAX 256
/** Balancers taken from one list of the store. */
#define EDGE_MEMBERS_MAX 1024

/** A balancer's entry in the store. */
struct edge_member {
	char name[FLOW_NAME_MAX];
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t revision;
};

/** A list of them. */
struct edge_members {
	size_t count;
	size_t malformed; /**< entries of other writers, left out */
	struct edge_member items[EDGE_MEMBERS_MAX];
	bool more;		   /**< the list goes on */
	char after[FLOW_NAME_MAX]; /**< behind this name */
};

/** A configuration as the store gave it. */
struct edge_config {
	struct routes routes; /**< version 0 when the answer held none */
	uint64_t revision;    /**< to watch from; 0 when not told */
};

/** A platform. */
struct edge {
	/** Decode a packet; false when it is malformed. */
	bool (*read_packet)(
	    struct str bytes, enum flow_side from, struct flow_packet *out);
	/**
	 * Mark a packet, in place, with the service it is meant for and
	 * whether it is a probe; a mark of having been returned goes away.
	 */
	void (*mark_packet)(
	    char *bytes, size_t len, uint32_t service, bool probe);
	/** Write a reset for a caller. @return its length */
	size_t (*write_reset)(
	    const struct flow_key *flow, uint32_t ack, char *buf, size_t cap);

	/** Path by which routers ask whether a balancer is ready. */
	const char *ready_path;
	/**
	 * Decode a call of a target on itself.
	 * @return STATUS_INVALID with the reason when it is malformed
	 */
	struct status (*read_word)(struct str method, struct str path,
	    struct str body, struct target_heartbeat *out);
	/** Body of the answer to it. */
	const char *word_answer;

	/** Path that lists the configuration. */
	void (*config_path)(char path[EDGE_PATH_MAX]);
	/** Path that waits for a change after a revision. */
	void (*watch_path)(
	    uint64_t revision, unsigned wait_ms, char path[EDGE_PATH_MAX]);
	/** Decode the answer to config_path() or watch_path(). */
	struct status (*read_config)(struct str body, struct edge_config *out);

	/** Path of all balancers' entries, or of those behind a name. */
	void (*members_path)(const char *after, char path[EDGE_PATH_MAX]);
	/** Decode a list of them; malformed entries are counted and left out.
	 */
	struct status (*read_members)(
	    struct str body, struct edge_members *out);
	/** Path of one entry, with the revision it must still have, or 0. */
	void (*member_path)(
	    const char *name, uint64_t revision, char path[EDGE_PATH_MAX]);
	/** Body that creates or replaces an entry; the caller frees it. */
	char *(*member_body)(const struct edge_member *m, const char *domain);
	/** Decode the entry that a refused write brought back. */
	bool (*read_member)(struct str body, struct edge_member *out);
};

#endif
