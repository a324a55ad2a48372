/**
 * @file store.h
 * The platform's store, as a balancer or agent uses it: the configuration,
 * read once and then watched, and the entries of the balancers. Every call
 * has a time-out, failed ones are repeated with growing pauses, and all of
 * them together keep a budget.
 */
#ifndef PW_STORE_TASK_H
#define PW_STORE_TASK_H

#include "base/counters.h"
#include "base/rng.h"
#include "flow/edge.h"
#include "task/fetch.h"

/** What the store tells its owner. */
struct store_callbacks {
	/** A configuration came; the owner takes what is in it. */
	void (*config)(void *ctx, struct edge_config *c);
	/** A part of the list of balancers came. */
	void (*members)(void *ctx, const struct edge_members *list);
};

/** How a store is reached. */
struct store_setup {
	const struct edge *edge;
	const char *url;
	unsigned calls_per_s; /**< budget of this process */
	uint64_t seed;	      /**< of the random numbers */
};

struct store;

/** A store; setup's texts, fetcher, events and ctr are borrowed. */
struct store *store_new(uv_loop_t *loop, struct fetcher *fetcher,
    const struct store_setup *setup, const struct store_callbacks *events,
    void *ctx, struct counters *ctr);
/** End every call and free the store once its handles are closed. */
void store_free(struct store *s);
/** Begin or end watching the configuration; it is read whole first. */
void store_watch_config(struct store *s, bool on);
/** This process stood still: what a watch waits for may be lost. */
void store_restart_watch(struct store *s);
/** Write the own entry, until the store has it. */
void store_announce(
    struct store *s, const struct edge_member *self, const char *domain);
/** Read the balancers' entries, once. */
void store_list_members(struct store *s);
/** Remove an entry if it is still at its revision. */
void store_remove_member(struct store *s, const struct edge_member *m);

#endif
