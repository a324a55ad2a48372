#include "testbed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Retransmission interval in ms of a packet without a response. */
#define RETRY_MS 200
/** Time in ms after which a request without a response is lost. */
#define DEADLINE_MS 3000
/** Pause in ms between two requests of a flow. */
#define PAUSE_MS 120
/** Number of requests on a flow before the caller closes it. */
#define REQUESTS_PER_FLOW 25
/** Bound from the users' documentation: of an open flow's packets, this many in
 * a row over this time in ms must not all reach other targets. */
#define STRAYS_MIN 3
#define STRAY_WINDOW_MS 2000
/** Interval in ms of the routers' readiness probes. */
#define PROBE_PERIOD_MS 300
/** Failed probes in a row that take a balancer out of rotation. */
#define PROBE_FAILURES_MAX 2

#define BIT_SYN 64U
#define BIT_ACK 2U
#define BIT_FIN 16U
#define BIT_RST 8U

enum caller_state {
	CALLER_IDLE,
	CALLER_OPENING,
	CALLER_WAITING,
	CALLER_PAUSE,
};

struct caller {
	struct testbed *testbed;
	size_t n;
	struct udp udp;
	uv_timer_t timer;
	enum caller_state state;
	uint16_t port;
	size_t service;
	uint32_t seq, ack;
	unsigned retries, answered;
	uint64_t started_ms;
	size_t target;
	uint32_t incarnation;
	unsigned strays; /**< packets in a row that reached other targets */
	uint64_t first_stray_ms;
	char request[32];
};

struct router {
	struct testbed *testbed;
	size_t n;
	uv_timer_t timer;
	unsigned probe_failures;
};

static struct caller callers[TESTBED_CALLERS_MAX];
static struct router routers[TESTBED_BALANCERS_MAX];

/* ---- routers ---- */

static void
on_probe_result(void *ctx, const struct fetch_result *r)
{
	struct router *b = ctx;

	if (r->outcome == FETCH_RESPONSE && r->status == 200)
		b->probe_failures = 0;
	else if (b->probe_failures < PROBE_FAILURES_MAX)
		b->probe_failures++;
}

static void
on_probe_timer(uv_timer_t *timer)
{
	struct router *b = timer->data;
	char url[96], at[ADDR_TEXT_MAX];
	const struct fetch_request probe = {
	    .url = url, .timeout_ms = PROBE_PERIOD_MS - 50};

	snprintf(url, sizeof(url), "http://%s/v1/ready",
	    addr_text(
		testbed_addr(b->testbed, 1, (unsigned)b->n, PORT_READINESS),
		at));
	fetch_start(b->testbed->fetcher, &probe, on_probe_result, b);
}

/*
 * Rendezvous hash over the balancers in rotation, so that the loss of a
 * balancer moves its own flows alone.
 */
static struct addr
select_balancer(const struct caller *c)
{
	struct testbed *h = c->testbed;
	size_t best = 0;
	uint32_t best_weight = 0;

	for (size_t i = 0; i < h->balancers; i++) {
		uint32_t key[3] = {
		    (uint32_t)c->n, c->port, (uint32_t)i * 2654435761U};
		uint32_t weight =
		    flow_service_tag((struct str){(char *)key, sizeof(key)});

		if (routers[i].probe_failures < PROBE_FAILURES_MAX &&
		    weight > best_weight) {
			best = i;
			best_weight = weight;
		}
	}
	return testbed_addr(h, 1, (unsigned)best, PORT_PACKETS);
}

/* ---- callers ---- */

static void
send_packet(struct caller *c, unsigned flags, const char *data)
{
	char buf[TESTBED_HEADER_LEN + 64];
	struct testbed_packet p = {.seq = c->seq,
	    .ack = (flags & BIT_SYN) != 0 ? c->retries : c->ack,
	    .src = {testbed_addr(c->testbed, 4, (unsigned)c->n, 0).ip, c->port},
	    .dst = testbed_service_addr(c->service),
	    .flags = flags};

	snprintf(p.data, sizeof(p.data), "%s", data);
	udp_send(&c->udp, select_balancer(c),
	    (struct str){buf, testbed_packet_encode(&p, buf)});
}

static void start_timer(struct caller *c, uint64_t ms);

static void
open_flow(struct caller *c)
{
	struct testbed *h = c->testbed;

	if (h->closing)
		return;
	c->state = CALLER_OPENING;
	c->port++;
	c->service = rng_below(&h->rng, TESTBED_SERVICES);
	c->seq = (uint32_t)rng_next(&h->rng);
	c->retries = 0;
	c->answered = 0;
	c->strays = 0;
	c->started_ms = testbed_now_ms();
	send_packet(c, BIT_SYN, "");
	start_timer(c, RETRY_MS);
}

static void
send_next_request(struct caller *c)
{
	struct testbed *h = c->testbed;

	if (c->answered == REQUESTS_PER_FLOW || h->closing) {
		send_packet(c, BIT_FIN | BIT_ACK, "");
		c->state = CALLER_IDLE;
		start_timer(c, PAUSE_MS);
		return;
	}
	h->counts.requests++;
	c->state = CALLER_WAITING;
	c->retries = 0;
	c->started_ms = testbed_now_ms();
	snprintf(c->request, sizeof(c->request), "r%zu.%u.%u", c->n, c->port,
	    c->answered);
	send_packet(c, BIT_ACK, c->request);
	start_timer(c, RETRY_MS);
}

static void
on_timer(uv_timer_t *timer)
{
	struct caller *c = timer->data;
	bool over = testbed_now_ms() > c->started_ms + DEADLINE_MS;

	switch (c->state) {
	case CALLER_IDLE:
		open_flow(c);
		return;
	case CALLER_PAUSE:
		send_next_request(c);
		return;
	case CALLER_OPENING:
		c->retries++;
		if (over || c->retries > 3) {
			c->state = CALLER_IDLE;
			start_timer(c, PAUSE_MS);
			return;
		}
		send_packet(c, BIT_SYN, "");
		break;
	case CALLER_WAITING:
		if (over) {
			c->testbed->counts.lost++;
			c->state = CALLER_IDLE;
			start_timer(c, PAUSE_MS);
			return;
		}
		send_packet(c, BIT_ACK, c->request);
		break;
	}
	start_timer(c, RETRY_MS);
}

static void
start_timer(struct caller *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_timer, ms, 0);
}

/*
 * A RST in response to a SYN means that no target accepted the flow. On an open
 * flow, one with another number answers a copy of the SYN, and is ignored.
 */
static void
on_reset(struct caller *c, uint32_t number)
{
	bool open = c->state != CALLER_OPENING && c->state != CALLER_IDLE;

	if (open && !flow_acks_match(number, c->ack))
		return;
	if (open && testbed_target_is_alive(c->target, c->incarnation)) {
		c->testbed->counts.resets++;
		fprintf(stderr,
		    "reset at %llu ms: caller %zu port %u, target %zu is "
		    "alive; number %u, acknowledged %u\n",
		    (unsigned long long)testbed_now_ms(), c->n, c->port,
		    c->target, number, c->ack);
	}
	c->state = CALLER_IDLE;
	start_timer(c, PAUSE_MS);
}

static void
on_packet(void *ctx, struct str bytes, struct addr src)
{
	struct caller *c = ctx;
	struct testbed *h = c->testbed;
	struct testbed_packet p;

	(void)src;
	if (!testbed_packet_decode(h, bytes, &p) || p.dst.port != c->port)
		return;
	if ((p.flags & BIT_RST) != 0) {
		on_reset(c, p.seq);
		return;
	}
	if ((p.flags & BIT_SYN) != 0) {
		if (c->state != CALLER_OPENING)
			return;
		sscanf(p.data, "%zu %u", &c->target, &c->incarnation);
		c->ack = p.seq + 1;
		send_next_request(c);
		return;
	}
	if (c->state != CALLER_WAITING || p.data[0] == '\0')
		return;
	h->counts.checks++;
	if (strcmp(p.data, c->request) != 0) {
		/* A delayed response to an earlier request of the flow is
		 * allowed. */
		if (strncmp(p.data, c->request,
			(size_t)(strrchr(c->request, '.') - c->request)) != 0)
			h->counts.mismatched++;
		return;
	}
	h->counts.answers++;
	c->answered++;
	c->seq += (uint32_t)strlen(c->request);
	c->ack = p.seq + (uint32_t)strlen(p.data);
	c->state = CALLER_PAUSE;
	start_timer(c, PAUSE_MS);
}

static void
record_stray(struct caller *c, size_t target)
{
	uint64_t now = testbed_now_ms();

	if (target == c->target ||
	    !testbed_target_is_alive(c->target, c->incarnation))
		return;
	if (c->strays++ == 0)
		c->first_stray_ms = now;
	if (c->strays < STRAYS_MIN || now < c->first_stray_ms + STRAY_WINDOW_MS)
		return;
	c->testbed->counts.strays++;
	fprintf(stderr,
	    "stray at %llu ms: %u packets of caller %zu port %u, the last at "
	    "target %zu, none at target %zu\n",
	    (unsigned long long)now, c->strays, c->n, c->port, target,
	    c->target);
	c->strays = 0;
}

void
testbed_callers_record_packet(
    struct testbed *h, const struct testbed_packet *p, size_t target, bool held)
{
	size_t n = p->src.ip - testbed_addr(h, 4, 0, 0).ip;
	struct caller *c = &callers[n];

	if (n >= h->callers || p->src.port != c->port ||
	    (c->state != CALLER_WAITING && c->state != CALLER_PAUSE))
		return;
	h->counts.checks++;
	if (held)
		c->strays = 0;
	else
		record_stray(c, target);
}

void
testbed_callers_open(struct testbed *h)
{
	for (size_t i = 0; i < h->balancers; i++) {
		routers[i] = (struct router){
		    .testbed = h, .n = i, .probe_failures = PROBE_FAILURES_MAX};
		uv_timer_init(h->loop, &routers[i].timer);
		routers[i].timer.data = &routers[i];
		uv_timer_start(
		    &routers[i].timer, on_probe_timer, i * 11, PROBE_PERIOD_MS);
	}
	for (size_t i = 0; i < h->callers; i++) {
		struct caller *c = &callers[i];
		struct status st;

		c->testbed = h;
		c->n = i;
		c->port = (uint16_t)(20000 + rng_below(&h->rng, 20000));
		st = udp_open(&c->udp, h->loop,
		    testbed_addr(h, 4, (unsigned)i, PORT_PACKETS), on_packet,
		    c);
		if (st.code != STATUS_OK) {
			fprintf(stderr, "caller: %s\n", st.message);
			exit(1);
		}
		uv_timer_init(h->loop, &c->timer);
		c->timer.data = c;
		start_timer(c, 1 + i * 13 % 1000);
	}
}
