/**
 * @file relay.c
 * Processor time of the balancer for a datagram, compared with a bare relay
 * that makes the same system calls: receive one datagram, send one.
 *
 * usage: relay DATAGRAMS [ENDPOINTS SERVICES FLOWS]
 *
 * Both are timed alternately in one process over loopback sockets; the median
 * ratio of their rates is printed.
 */
#include "base/clock.h"
#include "codec/wire.h"
#include "request/balancer.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define PAYLOAD_LEN 96
#define BURST 32
#define ROUNDS 9

static struct keyring keys = {.count = 1};
static int caller_fd;
static int agent_fd;
static int source_fd;
static struct sockaddr_in sink_addr;
static struct counters ctr;
static struct rng rng;
static uint8_t payload[PAYLOAD_LEN];

static int
open_socket(struct sockaddr_in *at)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		abort();
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*at = sin;
	return fd;
}

static void
send_message(void *ctx, struct addr to, const struct msg *m)
{
	uint8_t buf[WIRE_UDP_MAX];
	size_t n = wire_encode(&keys, m, buf, sizeof(buf));

	(void)to;
	if (m->kind == MSG_DATAGRAM && ctx != NULL)
		sendto(agent_fd, buf, n, 0, (struct sockaddr *)&sink_addr,
		    sizeof(sink_addr));
}

static void
send_caller(void *ctx, const struct flow_key *flow, struct str bytes)
{
	(void)ctx;
	(void)flow;
	(void)bytes;
}

static void
fetch_config(void *ctx, struct addr from, uint64_t version)
{
	(void)ctx;
	(void)from;
	(void)version;
}

static struct balancer *
make_balancer(unsigned endpoints, unsigned services, void *ctx)
{
	struct bal_params p = {.self = {.id = 1, .incarnation = 1, .seq = 1},
	    .hint_capacity = 262144,
	    .control_budget = 9000};
	struct bal_ops ops = {send_message, send_caller, fetch_config, ctx};
	struct balancer *b = bal_new(&p, &ops, &rng, &ctr, 1);
	struct msg m = {.kind = MSG_RECORDS};

	for (unsigned i = 0; i < endpoints; i++) {
		m.u.records.count = 1;
		m.u.records.records[0] =
		    (struct member){.id = 1000 + i * 0x9e3779b97f4a7c15ULL,
			.incarnation = 1,
			.seq = 1,
			.role = MBR_AGENT,
			.phase = MBR_ACTIVE,
			.service = 1 + i % services};
		bal_handle_message(b, &m, (struct addr){0}, 1);
	}
	return b;
}

static uint64_t
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

/* Returns the processor time in ns to receive and forward count datagrams. */
static uint64_t
measure_forwarding(struct balancer *b, unsigned count, struct sockaddr_in *at,
    unsigned services, unsigned flows, unsigned *serial)
{
	uint64_t spent = 0;
	uint8_t buf[2048];

	for (unsigned sent = 0; sent < count; sent += BURST) {
		uint64_t begun;

		for (unsigned i = 0; i < BURST; i++)
			sendto(source_fd, payload, PAYLOAD_LEN, 0,
			    (struct sockaddr *)at, sizeof(*at));
		begun = cpu_ns();
		for (unsigned i = 0; i < BURST; i++) {
			struct sockaddr_in src;
			socklen_t len = sizeof(src);
			ssize_t n = recvfrom(caller_fd, buf, sizeof(buf), 0,
			    (struct sockaddr *)&src, &len);
			unsigned flow = (*serial)++ % flows;
			struct flow_key key = {
			    0x0a0000010000ULL + flow * 0x10001ULL,
			    1 + flow % services};

			if (b == NULL)
				sendto(agent_fd, buf, (size_t)n, 0,
				    (struct sockaddr *)&sink_addr,
				    sizeof(sink_addr));
			else
				bal_handle_caller_datagram(b, &key,
				    (struct str){(char *)buf, (size_t)n}, 1);
		}
		spent += cpu_ns() - begun;
		while (recv(agent_fd, buf, sizeof(buf), MSG_DONTWAIT) > 0)
			continue;
	}
	return spent;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

int
main(int argc, char **argv)
{
	unsigned count = argc > 1 ? (unsigned)atoi(argv[1]) : 100000;
	unsigned endpoints = argc > 4 ? (unsigned)atoi(argv[2]) : 4200;
	unsigned services = argc > 4 ? (unsigned)atoi(argv[3]) : 1100;
	unsigned flows = argc > 4 ? (unsigned)atoi(argv[4]) : 200000;
	double ratios[ROUNDS];
	double ours[ROUNDS];
	struct sockaddr_in callers_at;
	struct sockaddr_in other;
	struct balancer *b;
	unsigned serial = 0;

	if (sodium_init() < 0)
		return 1;
	rng_init(&rng, 1);
	caller_fd = open_socket(&callers_at);
	agent_fd = open_socket(&sink_addr);
	source_fd = open_socket(&other);
	b = make_balancer(endpoints, services, &sink_addr);
	for (unsigned i = 0; i < ROUNDS; i++) {
		uint64_t bare = measure_forwarding(
		    NULL, count, &callers_at, services, flows, &serial);
		uint64_t full = measure_forwarding(
		    b, count, &callers_at, services, flows, &serial);

		ratios[i] = (double)bare / (double)full;
		ours[i] = (double)full / count;
	}
	qsort(ratios, ROUNDS, sizeof(double), compare);
	qsort(ours, ROUNDS, sizeof(double), compare);
	printf("bench: relay-ratio %.2f ratio (baseline 1, a bare relay; "
	       "endpoints %u services %u flows %u)\n",
	    ratios[ROUNDS / 2], endpoints, services, flows);
	printf("bench: datagram-cpu %.0f ns/datagram\n", ours[ROUNDS / 2]);
	bal_free(b);
	return 0;
}
