/**
 * @file testbed.h
 * Test environment of the flow balancers and agents. One process plays the
 * platform's store, the targets, the routers and the callers, on loopback
 * addresses 127.NET.KIND.N, and checks every packet and response it receives.
 */
#ifndef PW_TESTBED_H
#define PW_TESTBED_H

#include "base/rng.h"
#include "base/str.h"
#include "flow/packet.h"
#include "task/fetch.h"
#include "task/udp.h"
#include "task/web.h"

#include <uthash.h>

/** Largest numbers of targets, balancers and callers. */
#define TESTBED_TARGETS_MAX 128
#define TESTBED_BALANCERS_MAX 128
#define TESTBED_CALLERS_MAX 256
/** Number of services. Target N belongs to service N modulo this number. */
#define TESTBED_SERVICES 2
/** Length of a packet's header in bytes. */
#define TESTBED_HEADER_LEN 34

/** Ports of the processes, the same on every address. */
enum testbed_port {
	PORT_STORE = 8400,
	PORT_CONTROL = 7700,
	PORT_PACKETS = 8172,
	PORT_READINESS = 8167,
	PORT_TARGET_HEARTBEATS = 8166,
	PORT_TARGET_PACKETS = 8162,
	PORT_TARGET = 8080,
};

/** Numbers of requests, checks and violations since the start. */
struct testbed_counts {
	uint64_t requests;
	uint64_t answers; /**< responses that match their request */
	uint64_t lost;	 /**< requests without a response within the deadline */
	uint64_t resets; /**< RSTs on a flow whose target is alive */
	uint64_t strays; /**< packets of an open flow that reached other targets
			    for too long, and none its own */
	uint64_t misrouted;	/**< openings at a target of another service */
	uint64_t mismatched;	/**< responses to another flow's request */
	uint64_t corrupted;	/**< packets with a wrong checksum */
	uint64_t late_openings; /**< openings at a draining target */
	uint64_t checks;
};

/** A decoded packet. */
struct testbed_packet {
	uint32_t seq, ack;
	struct addr src, dst;
	unsigned flags; /**< flag bits as in the platform's packet format */
	char data[64];	/**< payload, NUL-terminated text */
};

/** State that the parts of the testbed share. */
struct testbed {
	uv_loop_t *loop;
	unsigned net; /**< second octet of all loopback addresses */
	size_t targets, balancers, callers;
	struct rng rng;
	struct fetcher *fetcher;
	struct testbed_counts counts;
	bool closing; /**< callers open no flows and send no requests */
	/** Fault injected on purpose, to show that its check can fail. */
	enum testbed_fault {
		FAULT_NONE,
		FAULT_ROUTE,
		FAULT_MISMATCHED,
		FAULT_CORRUPTED,
		FAULT_RESET,
		FAULT_LATE,
		FAULT_COUNT
	} fault;
};

/** Current time of the monotonic clock in ms. */
uint64_t testbed_now_ms(void);
/**
 * Get the loopback address 127.NET.kind.(n + 1):port. Kinds: 0 store,
 * 1 balancers, 2 agents, 3 targets, 4 callers.
 */
struct addr testbed_addr(
    const struct testbed *h, unsigned kind, unsigned n, uint16_t port);
/** Get the address at which callers reach a service. */
struct addr testbed_service_addr(size_t service);
/** Get the name of a service. */
const char *testbed_service_name(size_t service);
/** Encode a packet with its checksum. @return its length in bytes */
size_t testbed_packet_encode(const struct testbed_packet *p, char *buf);
/**
 * Decode a packet. A wrong checksum is counted as a corrupted packet.
 * @return false if the length is invalid
 */
bool testbed_packet_decode(
    struct testbed *h, struct str bytes, struct testbed_packet *out);

/** Open the store with version 1 of the configuration; exits on failure. */
void testbed_store_open(struct testbed *h);
/** Replace the configuration by a newer version. */
void testbed_store_increment_version(void);
/** Get the latest version of the configuration. */
unsigned testbed_store_version(void);
/** Return the store to a copy that is some seconds old: what processes have
 * written since is gone, revisions go back, and a new era begins. */
void testbed_store_restore(void);
/** Begin or end an outage, in which the store answers 503 alone. */
void testbed_store_set_outage(bool outage);
/** Open the targets; exits on failure. */
void testbed_targets_open(struct testbed *h);
/** Start draining a target. It restarts after it has ended. */
void testbed_target_drain(size_t n);
/** Crash a target. It restarts after a delay. */
void testbed_target_crash(size_t n);
/**
 * Check whether a target is up, not draining and still in the given
 * incarnation.
 */
bool testbed_target_is_alive(size_t n, uint32_t incarnation);
/**
 * Record that a packet of a flow reached a target.
 * @param target index of the target
 * @param held whether the target holds the flow
 */
void testbed_callers_record_packet(struct testbed *h,
    const struct testbed_packet *p, size_t target, bool held);
/** Open the routers and callers; exits on failure. */
void testbed_callers_open(struct testbed *h);

#endif
