/**
 * @file store.h
 * Client of the platform's store for balancers and agents: reads and watches
 * the configuration, lists, writes and removes the balancers' entries, and
 * reads and writes the records of agents.
 * Every request has a timeout, a failed one is retried with exponential
 * backoff, and all requests of a process share a rate limit.
 */
#ifndef PW_STORE_TASK_H
#define PW_STORE_TASK_H

#include "base/counters.h"
#include "base/rng.h"
#include "flow/platform_ops.h"
#include "task/fetch.h"

/** Callbacks of a store; one that the owner never triggers may be NULL. */
struct store_callbacks {
	/** A configuration was read. The callback may move routes out of c. */
	void (*config)(void *ctx, struct platform_config *c);
	/**
	 * The evacuated failure domains were read, or were confirmed.
	 * @param tags their tags, count of them
	 */
	void (*evacuations)(
	    void *ctx, uint64_t revision, const uint32_t *tags, uint32_t count);
	/** Whether the store answers the watch; called at each answer and each
	 * failure, but for a single one that may be an accident of one
	 * connection. */
	void (*watch_state)(void *ctx, bool ok);
	/**
	 * The entry of this process is in the store.
	 * @param was_established an earlier process at the same address had
	 * left it there as established
	 */
	void (*announced)(void *ctx, bool was_established);
	/** One page of the balancers' entries was read. */
	void (*members)(void *ctx, const struct balancer_entries *list);
	/** The record was read; empty when there is none, or it is malformed.
	 */
	void (*record_read)(void *ctx, struct str record);
	/** A write of the record has ended. */
	void (*record_written)(void *ctx, bool ok);
};

/** Parameters of a store. */
struct store_setup {
	const struct platform_ops *platform_ops;
	const char *url;      /**< base URL of the platform */
	unsigned calls_per_s; /**< rate limit of this process */
	uint64_t seed;	      /**< seed of the backoff's jitter */
};

struct store;

/** Create a store. The platform_ops and URL in setup, fetcher, callbacks and
 * ctr are borrowed. */
struct store *store_new(uv_loop_t *loop, struct fetcher *fetcher,
    const struct store_setup *setup, const struct store_callbacks *callbacks,
    void *ctx, struct counters *ctr);
/** Cancel every request and free the store once its handles are closed.
 * @param s may be NULL */
void store_free(struct store *s);
/** Start or stop watching the configuration. The first read fetches all of
 * it. */
void store_watch_config(struct store *s, bool on);
/** Start or stop to read and watch the evacuations. The first read lists all of
 * them. */
void store_watch_evacuations(struct store *s, bool on);
/** Restart the running watches after this process was suspended, as their
 * connections may be lost. */
void store_restart_watch(struct store *s);
/** The latest era of the store, 0 if it states none. */
uint64_t store_era(const struct store *s);
/** Record an era that another process has seen, as this one's own responses
 * would state it. */
void store_set_era(struct store *s, uint64_t era);
/** Write the entry of this process; retried until the store has it. */
void store_announce(
    struct store *s, const struct balancer_entry *self, const char *domain);
/** Read the balancers' entries once, page by page. */
void store_list_members(struct store *s);
/** Remove an entry if its revision is unchanged. Ignored while another removal
 * is pending. */
void store_remove_member(struct store *s, const struct balancer_entry *m);
/** Read the record of this name, which this process will write; retried until
 * the store answers. */
void store_read_record(struct store *s, const char *name);
/** Write the record, once: a failure is reported and not retried. Not to be
 * called before the record was read or while a write is in progress. */
void store_write_record(struct store *s, struct str record);

#endif
