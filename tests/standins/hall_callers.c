#include "hall.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A packet that was not answered is sent again after this, ms. */
#define AGAIN_MS 200
/** A request not answered within this is lost, ms. */
#define DEADLINE_MS 3000
/** Pause between two requests of a flow, ms. */
#define PAUSE_MS 120
/** Requests of a flow before it is closed. */
#define REQUESTS 25
/** Routers ask balancers this often, ms. */
#define LOOK_MS 300
/** Misses after which a balancer is out of rotation. */
#define MISSES 2

#define BIT_SYN 64U
#define BIT_ACK 2U
#define BIT_FIN 16U
#define BIT_RST 8U

enum caller_state {
	CALLER_IDLE,
	CALLER_OPENING,
	CALLER_ASKING,
	CALLER_PAUSE,
};

struct caller {
	struct hall *hall;
	size_t n;
	struct udp udp;
	uv_timer_t timer;
	enum caller_state state;
	uint16_t port;
	size_t service;
	uint32_t seq, ack;
	unsigned copies, done;
	uint64_t began_ms;
	size_t target;
	uint32_t life;
	char request[32];
};

struct router {
	struct hall *hall;
	size_t n;
	uv_timer_t timer;
	unsigned misses;
};

static struct caller callers[HALL_CALLERS_MAX];
static struct router routers[HALL_BALANCERS_MAX];

/* ---- routers ---- */

static void
on_looked(void *ctx, const struct fetch_result *r)
{
	struct router *b = ctx;

	if (r->curl == CURLE_OK && r->status == 200)
		b->misses = 0;
	else if (b->misses < MISSES)
		b->misses++;
}

static void
on_look(uv_timer_t *timer)
{
	struct router *b = timer->data;
	char url[96], at[ADDR_TEXT_MAX];
	const struct fetch_request ask = {
	    .url = url, .timeout_ms = LOOK_MS - 50};

	snprintf(url, sizeof(url), "http://%s/v1/ready",
	    addr_text(hall_addr(b->hall, 1, (unsigned)b->n, PORT_READY), at));
	fetch_start(b->hall->fetcher, &ask, on_looked, b);
}

/* The highest weight of those in rotation: only a lost one's flows move. */
static struct addr
route(const struct caller *c)
{
	struct hall *h = c->hall;
	size_t best = 0;
	uint32_t best_weight = 0;

	for (size_t i = 0; i < h->balancers; i++) {
		uint32_t key[3] = {
		    (uint32_t)c->n, c->port, (uint32_t)i * 2654435761U};
		uint32_t weight =
		    flow_service_tag((struct str){(char *)key, sizeof(key)});

		if (routers[i].misses < MISSES && weight > best_weight) {
			best = i;
			best_weight = weight;
		}
	}
	return hall_addr(h, 1, (unsigned)best, PORT_PACKETS);
}

/* ---- callers ---- */

static void
send_packet(struct caller *c, unsigned flags, const char *data)
{
	char buf[HALL_HEAD + 64];
	struct hall_packet p = {.seq = c->seq,
	    .ack = (flags & BIT_SYN) != 0 ? c->copies : c->ack,
	    .src = {hall_addr(c->hall, 4, (unsigned)c->n, 0).ip, c->port},
	    .dst = hall_service_addr(c->service),
	    .flags = flags};

	snprintf(p.data, sizeof(p.data), "%s", data);
	udp_send(&c->udp, route(c), (struct str){buf, hall_write(&p, buf)});
}

static void wait_then(struct caller *c, uint64_t ms);

static void
open_flow(struct caller *c)
{
	struct hall *h = c->hall;

	if (h->closing)
		return;
	c->state = CALLER_OPENING;
	c->port++;
	c->service = rng_below(&h->rng, HALL_SERVICES);
	c->seq = (uint32_t)rng_next(&h->rng);
	c->copies = 0;
	c->done = 0;
	c->began_ms = hall_now_ms();
	send_packet(c, BIT_SYN, "");
	wait_then(c, AGAIN_MS);
}

static void
ask(struct caller *c)
{
	struct hall *h = c->hall;

	if (c->done == REQUESTS || h->closing) {
		send_packet(c, BIT_FIN | BIT_ACK, "");
		c->state = CALLER_IDLE;
		wait_then(c, PAUSE_MS);
		return;
	}
	h->counts.requests++;
	c->state = CALLER_ASKING;
	c->copies = 0;
	c->began_ms = hall_now_ms();
	snprintf(c->request, sizeof(c->request), "r%zu.%u.%u", c->n, c->port,
	    c->done);
	send_packet(c, BIT_ACK, c->request);
	wait_then(c, AGAIN_MS);
}

static void
on_timer(uv_timer_t *timer)
{
	struct caller *c = timer->data;
	bool over = hall_now_ms() > c->began_ms + DEADLINE_MS;

	switch (c->state) {
	case CALLER_IDLE:
		open_flow(c);
		return;
	case CALLER_PAUSE:
		ask(c);
		return;
	case CALLER_OPENING:
		c->copies++;
		if (over || c->copies > 3) {
			c->state = CALLER_IDLE;
			wait_then(c, PAUSE_MS);
			return;
		}
		send_packet(c, BIT_SYN, "");
		break;
	case CALLER_ASKING:
		if (over) {
			c->hall->counts.lost++;
			c->state = CALLER_IDLE;
			wait_then(c, PAUSE_MS);
			return;
		}
		send_packet(c, BIT_ACK, c->request);
		break;
	}
	wait_then(c, AGAIN_MS);
}

static void
wait_then(struct caller *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_timer, ms, 0);
}

static void
on_reset(struct caller *c)
{
	/* One that comes after an opening says that nobody took it. */
	if (c->state != CALLER_OPENING && c->state != CALLER_IDLE &&
	    hall_target_lives(c->target, c->life)) {
		c->hall->counts.resets++;
		fprintf(stderr,
		    "reset at %llu ms: caller %zu port %u, target %zu lives\n",
		    (unsigned long long)hall_now_ms(), c->n, c->port,
		    c->target);
	}
	c->state = CALLER_IDLE;
	wait_then(c, PAUSE_MS);
}

static void
on_packet(void *ctx, struct str bytes, struct addr src)
{
	struct caller *c = ctx;
	struct hall *h = c->hall;
	struct hall_packet p;

	(void)src;
	if (!hall_read(h, bytes, &p) || p.dst.port != c->port)
		return;
	if ((p.flags & BIT_RST) != 0) {
		on_reset(c);
		return;
	}
	if ((p.flags & BIT_SYN) != 0) {
		if (c->state != CALLER_OPENING)
			return;
		sscanf(p.data, "%zu %u", &c->target, &c->life);
		c->ack = p.seq + 1;
		ask(c);
		return;
	}
	if (c->state != CALLER_ASKING || p.data[0] == '\0')
		return;
	h->counts.checks++;
	if (strcmp(p.data, c->request) != 0) {
		/* A late answer to a request of this flow is no fault. */
		if (strncmp(p.data, c->request,
			(size_t)(strrchr(c->request, '.') - c->request)) != 0)
			h->counts.mixed++;
		return;
	}
	h->counts.answers++;
	c->done++;
	c->seq += (uint32_t)strlen(c->request);
	c->ack = p.seq + (uint32_t)strlen(p.data);
	c->state = CALLER_PAUSE;
	wait_then(c, PAUSE_MS);
}

void
hall_callers_open(struct hall *h)
{
	for (size_t i = 0; i < h->balancers; i++) {
		routers[i] =
		    (struct router){.hall = h, .n = i, .misses = MISSES};
		uv_timer_init(h->loop, &routers[i].timer);
		routers[i].timer.data = &routers[i];
		uv_timer_start(&routers[i].timer, on_look, i * 11, LOOK_MS);
	}
	for (size_t i = 0; i < h->callers; i++) {
		struct caller *c = &callers[i];
		struct status st;

		c->hall = h;
		c->n = i;
		c->port = (uint16_t)(20000 + rng_below(&h->rng, 20000));
		st = udp_open(&c->udp, h->loop,
		    hall_addr(h, 4, (unsigned)i, PORT_PACKETS), on_packet, c);
		if (st.code != STATUS_OK) {
			fprintf(stderr, "caller: %s\n", st.message);
			exit(1);
		}
		uv_timer_init(h->loop, &c->timer);
		c->timer.data = c;
		wait_then(c, 1 + i * 13 % 1000);
	}
}
