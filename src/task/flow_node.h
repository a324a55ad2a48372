/**
 * @file flow_node.h
 * What the daemons for opaque flows have in common: the control socket, the
 * tick, the discovery of pauses, log and metrics.
 */
#ifndef PW_FLOW_NODE_H
#define PW_FLOW_NODE_H

#include "base/counters.h"
#include "codec/flow_wire.h"
#include "codec/settings.h"
#include "flow/platform_ops.h"
#include "task/fetch.h"
#include "task/store.h"
#include "task/supervisor.h"
#include "task/udp.h"
#include "task/web.h"

/** Most seeds, as ids. */
#define FLOW_SEEDS_MAX SETTINGS_SEEDS_MAX

struct flow_node;

/** What differs between the daemons. */
struct flow_node_ops {
	/** A message came. */
	void (*message)(void *ctx, const struct flow_msg *m, uint64_t now);
	/** All that had come was read; may be NULL. */
	void (*settled)(void *ctx);
	/** Time passed. */
	void (*tick)(void *ctx, uint64_t now);
	/** The machine was suspended, or this process held up. */
	void (*paused)(void *ctx, uint64_t gap_ms, uint64_t now);
	/** Settings were read again. */
	void (*reloaded)(void *ctx);
	/** Gauges of this process as metric lines. @return bytes written */
	size_t (*gauges)(void *ctx, char *buf, size_t cap, uint64_t now);
	/** Answer a call that is not for the metrics. */
	web_handler *call;
};

/** The common part of a daemon. */
struct flow_node {
	uv_loop_t *loop;
	struct settings set;
	const char *settings_path;
	enum settings_use use;
	const struct platform_ops *platform_ops;
	const struct flow_node_ops *ops;
	void *ctx;
	struct supervisor sup;
	struct counters ctr;
	struct udp control;
	struct udp packets;
	struct web internal; /**< TCP at the control address */
	struct web readiness;
	struct web metrics;
	struct fetcher *fetcher;
	struct flow_arena arena;
	uv_timer_t tick;
	uv_signal_t hup;
	uv_check_t after_poll;
	uv_prepare_t before_poll;
	uint64_t id;
	uint64_t incarnation;
	uint64_t seeds[FLOW_SEEDS_MAX];
	size_t seed_count;
	uint64_t boot_lead_ns; /**< boot clock before the monotonic one */
};

/** Fill in; set is copied, the rest borrowed. */
void flow_node_init(struct flow_node *n, uv_loop_t *loop,
    const struct settings *set, const char *settings_path,
    enum settings_use use, const struct platform_ops *platform_ops,
    const struct flow_node_ops *ops, void *ctx);
/**
 * Open what both daemons have and begin to tick.
 * @param on_packet takes what comes to the packets' address
 */
struct status flow_node_open(struct flow_node *n,
    void (*on_packet)(void *ctx, struct str dgram, struct addr src));
/** Close it again. */
void flow_node_close(struct flow_node *n);
/** Encode a message and send it to a balancer or an agent. */
void flow_node_send(struct flow_node *n, uint64_t to, const struct flow_msg *m);
/** Send a reset to a caller. */
void flow_node_reset(
    struct flow_node *n, const struct flow_key *flow, uint32_t ack);
/** A store for this process. */
struct store *flow_node_store(
    struct flow_node *n, const struct store_events *events, void *ctx);
/** Monotonic time, nanoseconds. */
uint64_t flow_node_now(void);

#endif
