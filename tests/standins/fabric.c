/**
 * @file fabric.c
 * Stand-in for the fabric: forwards each datagram of a caller to a random
 * balancer that is live, with loss, delay and duplication drawn from SEED. A
 * balancer is live while its health port accepts connections.
 *
 * usage: fabric FABRIC_IP SEED LOSS_PPM DUP_PPM DELAY_US JITTER_US
 *            -s VIP:PORT ... -b BALANCER_IP:HEALTH_PORT ...
 */
#include "base/rng.h"
#include "task/udp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define BALANCERS_MAX 64
#define SERVICES_MAX 64
#define PROBE_PERIOD_MS 200

struct balancer {
	struct addr health;
	int live;
	int probing;
	uv_tcp_t tcp;
	uv_connect_t connect;
};

struct service {
	struct addr vip;
	struct udp udp;
};

/**
 * One caller at one service. The balancers see the address of the flow's own
 * socket as the caller's address.
 */
struct flow {
	struct {
		uint64_t caller;
		uint64_t vip;
	} key;
	struct service *service;
	struct udp udp;
	UT_hash_handle hh;
};

/** A datagram waiting for the end of its delay. */
struct delayed_datagram {
	uv_timer_t timer;
	struct udp *from;
	struct addr to;
	size_t len;
	char bytes[2048];
};

static struct balancer balancers[BALANCERS_MAX];
static size_t balancer_count;
static struct service services[SERVICES_MAX];
static size_t service_count;
static struct flow *flows;
static struct rng rng;
static uv_loop_t *loop;
static struct addr fabric_ip;
static unsigned loss_ppm;
static unsigned dup_ppm;
static unsigned delay_us;
static unsigned jitter_us;

static void
on_delay_closed(uv_handle_t *h)
{
	free(h->data);
}

static void
on_delay_elapsed(uv_timer_t *t)
{
	struct delayed_datagram *p = t->data;

	udp_send(p->from, p->to, (struct str){p->bytes, p->len});
	uv_close((uv_handle_t *)t, on_delay_closed);
}

static void
send_delayed(struct udp *from, struct addr to, struct str dgram)
{
	uint64_t us = delay_us + rng_below(&rng, jitter_us + 1);
	struct delayed_datagram *p;

	if (us < 1000) {
		udp_send(from, to, dgram);
		return;
	}
	if (dgram.len > sizeof(p->bytes))
		return;
	p = calloc(1, sizeof(*p));
	p->from = from;
	p->to = to;
	p->len = dgram.len;
	memcpy(p->bytes, dgram.p, dgram.len);
	uv_timer_init(loop, &p->timer);
	p->timer.data = p;
	uv_timer_start(&p->timer, on_delay_elapsed, us / 1000, 0);
}

static void
send_with_faults(struct udp *from, struct addr to, struct str dgram)
{
	if (rng_chance(&rng, loss_ppm))
		return;
	send_delayed(from, to, dgram);
	if (rng_chance(&rng, dup_ppm))
		send_delayed(from, to, dgram);
}

static void
on_response(void *ctx, struct str dgram, struct addr src)
{
	struct flow *f = ctx;

	(void)src;
	send_with_faults(&f->service->udp, addr_unpack(f->key.caller), dgram);
}

static struct flow *
get_flow(struct service *s, struct addr caller)
{
	struct flow k = {.key = {addr_pack(caller), addr_pack(s->vip)}};
	struct flow *f;

	HASH_FIND(hh, flows, &k.key, sizeof(k.key), f);
	if (f != NULL)
		return f;
	f = calloc(1, sizeof(*f));
	f->key = k.key;
	f->service = s;
	if (udp_open(&f->udp, loop, fabric_ip, on_response, f).code !=
	    STATUS_OK)
		exit(71);
	HASH_ADD(hh, flows, key, sizeof(f->key), f);
	return f;
}

static void
on_request(void *ctx, struct str dgram, struct addr src)
{
	struct service *s = ctx;
	struct flow *f = get_flow(s, src);
	size_t live = 0;
	size_t pick;

	for (size_t i = 0; i < balancer_count; i++)
		live += (size_t)balancers[i].live;
	if (live == 0)
		return;
	pick = rng_below(&rng, live);
	for (size_t i = 0; i < balancer_count; i++) {
		struct addr to = {balancers[i].health.ip, s->vip.port};

		if (balancers[i].live && pick-- == 0) {
			send_with_faults(&f->udp, to, dgram);
			return;
		}
	}
}

static void
probe_closed(uv_handle_t *h)
{
	((struct balancer *)h->data)->probing = 0;
}

static void
on_connect(uv_connect_t *c, int status)
{
	struct balancer *b = c->data;

	b->live = status == 0;
	uv_close((uv_handle_t *)&b->tcp, probe_closed);
}

static void
probe_all(uv_timer_t *t)
{
	(void)t;
	for (size_t i = 0; i < balancer_count; i++) {
		struct balancer *b = &balancers[i];
		struct sockaddr_in sin = addr_to_sys(b->health);

		if (b->probing)
			continue;
		b->probing = 1;
		uv_tcp_init(loop, &b->tcp);
		b->tcp.data = b;
		b->connect.data = b;
		if (uv_tcp_connect(&b->connect, &b->tcp,
			(struct sockaddr *)&sin, on_connect) != 0)
			uv_close((uv_handle_t *)&b->tcp, probe_closed);
	}
}

static struct addr
parse_addr_arg(const char *text)
{
	struct addr a;

	if (!addr_parse(str_of(text), &a)) {
		fprintf(stderr, "fabric: %s: expected IP:PORT\n", text);
		exit(64);
	}
	return a;
}

int
main(int argc, char **argv)
{
	uv_timer_t timer;
	char text[64];

	if (argc < 9) {
		fprintf(stderr, "usage: fabric FABRIC_IP SEED LOSS_PPM DUP_PPM "
				"DELAY_US JITTER_US -s VIP:PORT ... "
				"-b BALANCER_IP:HEALTH_PORT ...\n");
		return 64;
	}
	loop = uv_default_loop();
	snprintf(text, sizeof(text), "%s:1", argv[1]);
	fabric_ip = parse_addr_arg(text);
	fabric_ip.port = 0;
	rng_init(&rng, strtoull(argv[2], NULL, 10));
	loss_ppm = (unsigned)atoi(argv[3]);
	dup_ppm = (unsigned)atoi(argv[4]);
	delay_us = (unsigned)atoi(argv[5]);
	jitter_us = (unsigned)atoi(argv[6]);
	for (int i = 7; i + 1 < argc; i += 2) {
		struct addr a = parse_addr_arg(argv[i + 1]);

		if (strcmp(argv[i], "-b") == 0 &&
		    balancer_count < BALANCERS_MAX)
			balancers[balancer_count++].health = a;
		else if (service_count < SERVICES_MAX)
			services[service_count++].vip = a;
	}
	for (size_t i = 0; i < service_count; i++) {
		struct status st = udp_open(&services[i].udp, loop,
		    services[i].vip, on_request, &services[i]);

		if (st.code != STATUS_OK) {
			fprintf(stderr, "fabric: %s\n", st.message);
			return 71;
		}
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, probe_all, 0, PROBE_PERIOD_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}
