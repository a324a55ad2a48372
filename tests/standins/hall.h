/**
 * @file hall.h
 * Stand-ins for what surrounds the daemons for opaque flows, all in one
 * process on loopback addresses 127.NET.x.y: the platform's store, the
 * targets, the routers and the callers. Every end checks what it gets.
 */
#ifndef PW_HALL_H
#define PW_HALL_H

#include "base/rng.h"
#include "base/str.h"
#include "flow/packet.h"
#include "task/fetch.h"
#include "task/udp.h"
#include "task/web.h"

#include <uthash.h>

/** Most targets, balancers and callers. */
#define HALL_TARGETS_MAX 128
#define HALL_BALANCERS_MAX 32
#define HALL_CALLERS_MAX 256
/** Services; targets belong to them by turns. */
#define HALL_SERVICES 2
/** Bytes of a packet's head. */
#define HALL_HEAD 34

/** Ports of the processes, the same on all addresses. */
enum hall_port {
	PORT_STORE = 8400,
	PORT_CONTROL = 7700,
	PORT_PACKETS = 8172,
	PORT_READY = 8167,
	PORT_WORDS = 8166,
	PORT_OUT = 8162,
	PORT_TARGET = 8080,
};

/** What was checked, and what failed. */
struct hall_counts {
	uint64_t requests;
	uint64_t answers;
	uint64_t lost;	    /**< not answered within the deadline */
	uint64_t resets;    /**< on a flow whose target lives */
	uint64_t misrouted; /**< opened at another service */
	uint64_t mixed;	    /**< an answer to another request */
	uint64_t changed;   /**< a packet that its sender did not write so */
	uint64_t late;	    /**< openings at a target that leaves */
	uint64_t checks;
};

/** A packet that an end reads or writes. */
struct hall_packet {
	uint32_t seq, ack;
	struct addr src, dst;
	unsigned flags; /**< the platform's bits */
	char data[64];	/**< text */
};

/** The hall. */
struct hall {
	uv_loop_t *loop;
	unsigned net;
	size_t targets, balancers, callers;
	struct rng rng;
	struct fetcher *fetcher;
	struct hall_counts counts;
	bool closing; /**< callers begin nothing more */
	/** What is broken on purpose, to show that a check can fail. */
	enum hall_broken {
		BROKEN_NOTHING,
		BROKEN_ROUTE,
		BROKEN_MIXED,
		BROKEN_CHANGED,
		BROKEN_RESET,
		BROKEN_LATE,
		BROKEN_COUNT
	} broken;
};

/** Milliseconds since some start. */
uint64_t hall_now_ms(void);
/** Address 127.NET.kind.n. */
struct addr hall_addr(
    const struct hall *h, unsigned kind, unsigned n, uint16_t port);
/** Address of a service that callers use. */
struct addr hall_service_addr(size_t service);
/** Name of a service. */
const char *hall_service_name(size_t service);
/** Write a packet with its check sum. @return its length */
size_t hall_write(const struct hall_packet *p, char *buf);
/** Read one; counts it as changed when the check sum does not fit. */
bool hall_read(struct hall *h, struct str bytes, struct hall_packet *out);

/** Open the store, with its first configuration. */
void hall_store_open(struct hall *h);
/** Write the next version of the configuration. */
void hall_store_change(void);
/** The latest version. */
unsigned hall_store_version(void);
/** The store answers nothing but 503 from now on, or answers again. */
void hall_store_away(bool away);
/** Open the targets. */
void hall_targets_open(struct hall *h);
/** A target leaves, another starts in its place later. */
void hall_target_leave(size_t n);
/** A target crashes and starts anew. */
void hall_target_crash(size_t n);
/** Whether the life of a target that held a flow goes on. */
bool hall_target_lives(size_t n, uint32_t life);
/** Open routers and callers. */
void hall_callers_open(struct hall *h);

#endif
