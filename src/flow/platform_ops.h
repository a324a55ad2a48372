/**
 * @file platform_ops.h
 * Interface to the platform on which flows run: the header of a packet, the
 * heartbeats of targets, and the store that holds the configuration and the
 * balancers' entries. An implementation encodes and decodes; it makes no
 * decisions.
 */
#ifndef PW_FLOW_PLATFORM_OPS_H
#define PW_FLOW_PLATFORM_OPS_H

#include "base/status.h"
#include "flow/routes.h"
#include "flow/target.h"

/** Longest path of a call to the store, including its NUL. */
#define PLATFORM_PATH_MAX 1024
/** Size of an object's name in the store, with its NUL; as in the settings. */
#define PLATFORM_NAME_MAX 256
/** Most balancers' entries in one page of a list from the store. */
#define PLATFORM_ENTRIES_MAX 512

/** A balancer's entry in the store. */
struct balancer_entry {
	char name[PLATFORM_NAME_MAX];
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t revision;
	bool established; /**< all agents know this address */
};

/** One page of the list of balancers' entries. */
struct balancer_entries {
	size_t count;
	size_t malformed; /**< entries that were skipped; other programs may
			     write them */
	struct balancer_entry items[PLATFORM_ENTRIES_MAX];
	bool more;		       /**< another page follows */
	char after[PLATFORM_NAME_MAX]; /**< name after which it begins */
};

/** A configuration from the store. */
struct platform_config {
	struct routes routes; /**< version 0 when the response held none */
	uint64_t revision;    /**< revision to watch from; 0 when not stated */
	size_t unreadable;    /**< values in the response that could not be
				 decoded; other programs may write them */
};

/** Most changes of evacuations in one response. */
#define PLATFORM_EVACUATIONS_MAX 256

/** An evacuated failure domain, or the end of its evacuation. */
struct platform_evacuation {
	char domain[FLOW_NAME_MAX];
	bool ended;
};

/** One page of the list of evacuations, or the changes that a watch returns. */
struct platform_evacuations {
	bool changes;	   /**< these are changes, not a list */
	uint64_t revision; /**< at which the list was read, or up to which all
			      changes are included */
	uint64_t changed;  /**< revision of the latest change, or 0 when the
			      response does not state all of them */
	size_t count;
	size_t malformed; /**< objects that were skipped; other programs may
			     write them */
	struct platform_evacuation items[PLATFORM_EVACUATIONS_MAX];
	bool more;		   /**< another page follows */
	char after[FLOW_NAME_MAX]; /**< name after which it begins */
};

/** Functions of a platform. */
struct platform_ops {
	/** Decode a packet; false when it is malformed. */
	bool (*read_packet)(
	    struct str bytes, enum flow_side from, struct flow_packet *out);
	/** Write a mark into a packet, in place, and clear FLOW_RETURNED. */
	void (*mark_packet)(
	    char *bytes, size_t len, const struct flow_mark *mark);
	/** Write a reset for a caller. @return its length, in bytes */
	size_t (*write_reset)(
	    const struct flow_key *flow, uint32_t ack, char *buf, size_t cap);

	/** Path of the readiness check that routers send to a balancer. */
	const char *ready_path;
	/**
	 * Decode a target's heartbeat call.
	 * @return STATUS_DENIED when path or method is another, STATUS_INVALID
	 * with the reason when the body is malformed
	 */
	struct status (*read_heartbeat)(struct str method, struct str path,
	    struct str body, struct target_heartbeat *out);
	/** Body of the response to a heartbeat call. */
	const char *heartbeat_response;

	/** Header of the store's responses with the number of its era, which
	 * rises when the store comes back from a copy; NULL if there is none.
	 */
	const char *era_header;
	/** Write the path that reads the configuration. */
	void (*config_path)(char path[PLATFORM_PATH_MAX]);
	/**
	 * Write the path that waits for a change of the configuration.
	 * @param revision changes after this one are reported
	 */
	void (*watch_path)(
	    uint64_t revision, unsigned wait_ms, char path[PLATFORM_PATH_MAX]);
	/** Decode the response to config_path() or watch_path(). */
	struct status (*read_config)(
	    struct str body, struct platform_config *out);

	/**
	 * Write the path that lists the evacuations.
	 * @param after name after which the list begins, empty for all
	 */
	void (*evacuations_path)(
	    const char *after, char path[PLATFORM_PATH_MAX]);
	/** Write the path that waits for a change of the evacuations. */
	void (*watch_evacuations_path)(
	    uint64_t revision, unsigned wait_ms, char path[PLATFORM_PATH_MAX]);
	/** Decode the response to either path. */
	struct status (*read_evacuations)(
	    struct str body, struct platform_evacuations *out);

	/**
	 * Write the path that lists the balancers' entries.
	 * @param after name after which the list begins, empty for all
	 */
	void (*entries_path)(const char *after, char path[PLATFORM_PATH_MAX]);
	/** Decode a page of entries; malformed ones are counted and skipped. */
	struct status (*read_entries)(
	    struct str body, struct balancer_entries *out);
	/**
	 * Write the path of one entry.
	 * @param name empty for the path on which an entry is created
	 * @param revision that the entry must still have, or 0 for any
	 */
	void (*entry_path)(
	    const char *name, uint64_t revision, char path[PLATFORM_PATH_MAX]);
	/** Body that creates or replaces an entry; the caller frees it. */
	char *(*entry_body)(const struct balancer_entry *m, const char *domain);
	/** Decode the entry in the response to a write that was refused; what
	 * is malformed in it is left empty or 0. */
	void (*read_entry)(struct str body, struct balancer_entry *out);

	/**
	 * Write the path of an agent's record.
	 * @param name empty for the path on which a record is created
	 */
	void (*record_path)(const char *name, char path[PLATFORM_PATH_MAX]);
	/** Body that creates or replaces a record; the caller frees it. */
	char *(*record_body)(const char *name, struct str record);
	/** Decode a record; the caller frees the bytes, which are NULL when it
	 * is malformed. */
	struct status (*read_record)(
	    struct str body, char **record, size_t *len);
};

#endif
