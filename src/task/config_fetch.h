/**
 * @file config_fetch.h
 * Reads the configuration from another process, a balancer or an agent that
 * keeps a copy. Both serve it at CONFIG_FETCH_PATH in the form of
 * codec/routes_wire.h.
 */
#ifndef PW_CONFIG_FETCH_H
#define PW_CONFIG_FETCH_H

#include "base/counters.h"
#include "flow/routes.h"
#include "task/fetch.h"

/** Path at which a process serves its configuration to others. */
#define CONFIG_FETCH_PATH "/configuration"
/** Media type of the response. */
#define CONFIG_FETCH_TYPE "application/x-protobuf"

/** A reader; one read runs at a time. */
struct config_fetch {
	struct fetcher *fetcher;
	struct counters *ctr;
	/** Called with each configuration read; may move routes out. */
	void (*read)(void *ctx, struct routes *routes, struct str encoded);
	void *ctx;
	struct fetch *fetch;
	uint64_t from;	    /**< process that was read last */
	uint64_t failed_ns; /**< latest read that failed; 0 after a success */
	uint64_t rejected;  /**< process whose copy could not be accepted, or 0
			     */
};

/**
 * Read the configuration of a process. Does nothing while a read is in
 * progress, or shortly after one failed; longer after the process sent a copy
 * that could not be accepted, as it would most likely send the same one again.
 * @param from its control address, or 0 for none
 */
void config_fetch_start(struct config_fetch *f, uint64_t from, uint64_t now);
/** Cancel a read. */
void config_fetch_cancel(struct config_fetch *f);

#endif
