/**
 * @file flow_node.h
 * The common part of the two daemons for opaque flows: sockets, the periodic
 * tick, detection of suspensions, the log and metrics.
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

/** Maximum number of seeds. */
#define FLOW_SEEDS_MAX SETTINGS_SEEDS_MAX

struct flow_node;

/** Callbacks that each daemon supplies. */
struct flow_node_ops {
	/** Handle a received control message. */
	void (*message)(void *ctx, const struct flow_msg *m, uint64_t now);
	/** Called when every packet that had arrived is read; may be NULL. */
	void (*batch_done)(void *ctx);
	/** Called every 50 ms. */
	void (*tick)(void *ctx, uint64_t now);
	/** Called after the machine was suspended for gap_ms. */
	void (*paused)(void *ctx, uint64_t gap_ms, uint64_t now);
	/** Called after the settings were read again. */
	void (*reloaded)(void *ctx);
	/** Write gauges as metric lines. @return bytes written, 0 if cap is
	 * too small */
	size_t (*write_gauges)(void *ctx, char *buf, size_t cap, uint64_t now);
	/** Handle an HTTP request for any path but that of the metrics. */
	web_handler *handle_request;
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
	struct web internal; /**< HTTP server at the control address */
	struct web readiness;
	struct web metrics;
	struct fetcher *fetcher;
	struct flow_arena arena;
	uv_timer_t tick;
	uv_signal_t hup;
	uv_check_t poll_check;
	uv_prepare_t poll_prepare;
	uint64_t id;
	uint64_t incarnation;
	uint64_t seeds[FLOW_SEEDS_MAX];
	size_t seed_count;
	uint64_t boot_lead_ns; /**< boot clock minus monotonic clock */
};

/** Initialize n and the event log; set is copied, the rest is borrowed. */
void flow_node_init(struct flow_node *n, uv_loop_t *loop,
    const struct settings *set, const char *settings_path,
    enum settings_use use, const struct platform_ops *platform_ops,
    const struct flow_node_ops *ops, void *ctx);
/**
 * Open the sockets and HTTP servers and start the tick.
 * @param on_packet handles a datagram received at the address for packets
 * @return STATUS_INVALID if an address cannot be bound
 */
struct status flow_node_open(struct flow_node *n,
    void (*on_packet)(void *ctx, struct str dgram, struct addr src));
/** Close what flow_node_open() opened. */
void flow_node_close(struct flow_node *n);
/** Encode a message and send it to a balancer or an agent. A message that
 * cannot be encoded is dropped. */
void flow_node_send(struct flow_node *n, uint64_t to, const struct flow_msg *m);
/** Send an RST for a flow to its caller. */
void flow_node_reset(
    struct flow_node *n, const struct flow_key *flow, uint32_t ack);
/** Create a client of the platform's store; free it with store_free(). */
struct store *flow_node_store(
    struct flow_node *n, const struct store_callbacks *callbacks, void *ctx);
/** Monotonic time in ns. */
uint64_t flow_node_now(void);

#endif
