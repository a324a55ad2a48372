#include "codec/flow_wire.h"
#include "codec/routes_wire.h"
#include "run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Addresses of balancers, agents, targets and services. */
#define NET_NODE 0x0a000000U
#define NET_SERVICE 0xc6120000U
#define PORT_CONTROL 7700
#define PORT_DATA 8172
#define PORT_SERVICE 443
/** A call to the store, there and back. */
#define STORE_NS (20 * NS_PER_MS)
/** A call to a balancer, there and back twice. */
#define FETCH_NS (20 * NS_PER_MS)
#define FETCH_AGAIN_MS 200
/** Routers look this often; two misses take a balancer out. */
#define LOOK_MS 500
/** A version is in force everywhere within this, ms: the users' bound. */
#define FORCE_MS 5000
/** Processes of which nobody stood still for this are held to bounds, ms. */
#define CALM_MS 5000
/** On one machine. */
#define LOCAL_NS 1000
#define FAR_NS (4 * NS_PER_MS)
#define SEEDS 3

static uint64_t seeds[SEEDS];

static const char *const domains[] = {
    "d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"};

static uint64_t
node_id(unsigned who)
{
	return addr_pack((struct addr){NET_NODE + who, PORT_CONTROL});
}

static unsigned
node_of(uint64_t id)
{
	return addr_unpack(id).ip - NET_NODE;
}

unsigned
service_of(unsigned agent)
{
	return (agent - r.set.balancers) / r.set.per_service;
}

uint64_t
service_address(unsigned service)
{
	return addr_pack((struct addr){NET_SERVICE + service, PORT_SERVICE});
}

static void
service_name(unsigned service, char name[FLOW_NAME_MAX])
{
	snprintf(name, FLOW_NAME_MAX, "service-%u", service);
}

uint32_t
service_tag(unsigned service)
{
	char name[FLOW_NAME_MAX];

	service_name(service, name);
	return flow_service_tag(str_of(name));
}

/* ---- what the decisions call ---- */

/* A mechanism that is broken: agents deny what their targets hold. */
static void
deny(struct flow_msg *m)
{
	if (m->kind != FLOW_MSG_FOUND || r.set.broken != INV_RESET)
		return;
	for (uint32_t i = 0; i < m->u.find.count; i++)
		m->u.find.flows[i].where = FIND_NOT_HELD;
}

static void
on_send(void *ctx, uint64_t to, const struct flow_msg *message)
{
	static struct flow_msg copy;
	struct flow_msg *m = &copy;
	struct node *n = ctx;
	uint8_t buf[FLOW_WIRE_MAX];
	unsigned dst = node_of(to);
	size_t len;

	*m = *message;
	deny(m);
	len = flow_wire_encode(m, buf, sizeof(buf));

	if (dst >= r.count || len == 0)
		return;
	n->sent += len;
	r.bytes[n->is_agent][m->kind] += len;
	if (r.nodes[dst].domain != n->domain) {
		r.far[n->is_agent] += len;
		n->sent_far += len;
	}
	send_link(n->domain, r.nodes[dst].domain, EV_MESSAGE, dst, 0, buf, len);
}

/* A mechanism that is broken: packets go where they do not belong. */
static bool
astray(const struct packet *p)
{
	bool opening = (p->flags & FLOW_SYN) != 0;

	return (r.set.broken == INV_STRAY && !opening) ||
	       (r.set.broken == INV_ROUTE && opening);
}

static void
on_forward(
    void *ctx, struct addr agent, struct str bytes, uint32_t tag, bool probe)
{
	struct node *n = ctx;
	unsigned dst = agent.ip - NET_NODE;
	struct packet p;

	memcpy(&p, bytes.p, sizeof(p));
	p.tag = tag;
	p.probe = probe;
	p.via = (uint32_t)(n - r.nodes);
	if (astray(&p)) {
		/* Past the agents, to any target. */
		post(FAR_NS, EV_TARGET,
		    r.set.balancers + (unsigned)rng_below(&r.rng, r.set.agents),
		    0, 0, &p, sizeof(p));
		return;
	}
	send_link(n->domain, r.nodes[dst].domain, EV_FORWARD, dst,
	    n->fb.setup.id, &p, sizeof(p));
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	struct node *n = ctx;
	struct packet p = {.flow = *flow, .ack = ack, .flags = FLOW_RST};
	unsigned who = addr_unpack(flow->caller).ip & 0xffffff;

	/* Whose it is goes along, for what is asserted. */
	p.request = (uint64_t)(n - r.nodes) + 1;
	send_link(
	    n->domain, who % r.set.domains, EV_CALLER, who, 0, &p, sizeof(p));
}

static void
on_deliver(void *ctx, const struct flow_packet *p)
{
	struct node *n = ctx;

	post(LOCAL_NS, EV_TARGET, (unsigned)(n - r.nodes), 0, 0, p->bytes.p,
	    p->bytes.len);
}

static void
on_answer(void *ctx, const struct flow_packet *p)
{
	struct node *n = ctx;
	unsigned who = addr_unpack(p->flow.caller).ip & 0xffffff;

	send_link(n->domain, who % r.set.domains, EV_CALLER, who, 0, p->bytes.p,
	    p->bytes.len);
}

static void
on_try(void *ctx)
{
	struct node *n = ctx;

	post(NS_PER_MS, EV_TRIED, (unsigned)(n - r.nodes), n->generation, 0,
	    NULL, 0);
}

static const struct fb_callbacks fb_callbacks = {on_forward, on_reset, on_send};
static const struct fa_callbacks fa_callbacks = {
    on_deliver, on_answer, on_reset, on_try, on_send};

/* ---- lives ---- */

void
node_start(unsigned who)
{
	struct node *n = &r.nodes[who];
	char service[FLOW_NAME_MAX];

	n->alive = true;
	n->generation++;
	n->began_ns = r.now;
	n->frozen_until = 0;
	n->restart_ns = 0;
	n->version = 0;
	n->asking = false;
	n->routed = false;
	if (n->is_agent) {
		service_name(service_of(who), service);
		const struct fa_setup setup = {.id = node_id(who),
		    .incarnation = rng_next(&r.rng) | 1,
		    .data_port = PORT_DATA,
		    .domain = domains[n->domain],
		    .service = service,
		    .target = {NET_NODE + who, 8080},
		    .word_period_ms = 1200,
		    .flow_life_ms = 60000,
		    .flow_capacity = 4096,
		    .seeds = seeds,
		    .seed_count = SEEDS};

		fa_init(&n->fa, &setup, &fa_callbacks, n, &n->ctr, r.now);
		n->fa.setup.service = NULL;
	} else {
		const struct fb_setup setup = {.id = node_id(who),
		    .incarnation = rng_next(&r.rng) | 1,
		    .domain = domains[n->domain],
		    .seeds = seeds,
		    .seed_count = SEEDS,
		    .hint_capacity = 4096,
		    .capacity = 250,
		    .seed = rng_next(&r.rng)};

		fb_init(&n->fb, &setup, &fb_callbacks, n, &n->ctr, r.now);
	}
	post(rng_below(&r.rng, FB_TICK_MS * NS_PER_MS), EV_TICK, who,
	    n->generation, 0, NULL, 0);
}

static void
clear(struct node *n)
{
	if (n->is_agent)
		fa_clear(&n->fa);
	else
		fb_clear(&n->fb);
}

void
node_kill(unsigned who, uint64_t restart_after_ns)
{
	struct node *n = &r.nodes[who];

	if (!n->alive)
		return;
	clear(n);
	n->alive = false;
	n->held_ns = r.now;
	n->restart_ns = r.now + restart_after_ns;
	post(restart_after_ns, EV_FAULT, who, 0, 0, NULL, 0);
}

void
nodes_begin(void)
{
	r.count = r.set.balancers + r.set.agents;
	r.nodes = mem_grow(NULL, r.count, sizeof(*r.nodes));
	memset(r.nodes, 0, r.count * sizeof(*r.nodes));
	for (unsigned i = 0; i < SEEDS; i++)
		seeds[i] = node_id(i % r.set.balancers);
	for (unsigned i = 0; i < r.count; i++) {
		struct node *n = &r.nodes[i];

		n->is_agent = i >= r.set.balancers;
		n->domain = i % r.set.domains;
		node_start(i);
	}
	r.version = 1;
	post(LOOK_MS * NS_PER_MS, EV_ROUTERS, 0, 0, 0, NULL, 0);
}

void
nodes_end(void)
{
	for (unsigned i = 0; i < r.count; i++) {
		if (r.nodes[i].alive)
			clear(&r.nodes[i]);
	}
	free(r.nodes);
}

/* ---- configuration ---- */

static void
routes_of(uint64_t version, struct routes *out)
{
	unsigned services =
	    (r.set.agents + r.set.per_service - 1) / r.set.per_service;

	*out = (struct routes){.version = version, .idle_ms = 30000};
	for (unsigned i = 0; i < services; i++)
		routes_add_share(
		    routes_add(out, addr_unpack(service_address(i))),
		    service_tag(i), 1);
}

void
config_change(void)
{
	r.version += 1 + rng_below(&r.rng, 3);
	r.changed_ns = r.now;
}

/* What the task does between the decisions and the store. */
static void
balancer_reads(struct node *n)
{
	unsigned who = (unsigned)(n - r.nodes);
	uint64_t peer = fb_newer_peer(&n->fb, r.now);

	if (fb_should_query_store(&n->fb, r.now) && !n->asking &&
	    n->fb.routes.version < r.version && r.now >= r.store_down_until) {
		n->asking = true;
		post(
		    STORE_NS, EV_STORE, who, n->generation, r.version, NULL, 0);
	}
	if (peer != 0 && r.now > n->fetched_ns + FETCH_AGAIN_MS * NS_PER_MS) {
		n->fetched_ns = r.now;
		post(FETCH_NS, EV_FETCHED, who, n->generation, peer, NULL, 0);
	}
}

static void
take_version(struct node *n, uint64_t version)
{
	struct routes next;

	if (r.set.broken == INV_FORCE && n == &r.nodes[0])
		return;
	if (r.set.broken == INV_VERSION && n->fb.routes.version > 1) {
		version = n->fb.routes.version - 1;
		n->fb.routes.version = 0;
	}
	routes_of(version, &next);
	fb_apply_routes(&n->fb, &next, r.now);
	check(INV_VERSION, n->fb.routes.version >= n->version,
	    "balancer %u goes from version %llu to %llu",
	    (unsigned)(n - r.nodes), (unsigned long long)n->version,
	    (unsigned long long)n->fb.routes.version);
	n->version = n->fb.routes.version;
}

static void
take_from_peer(struct node *n, uint64_t peer)
{
	const struct node *from = &r.nodes[node_of(peer)];

	if (from->alive && r.now >= from->frozen_until &&
	    r.now >= r.cut_until[from->domain][n->domain] &&
	    from->fb.routes.version != 0)
		take_version(n, from->fb.routes.version);
}

/* ---- events ---- */

static struct flow_packet
view(const struct packet *p)
{
	return (struct flow_packet){.flow = p->flow,
	    .seq = p->seq,
	    .ack = p->ack,
	    .flags = p->flags,
	    .tag = p->tag,
	    .probe = p->probe != 0,
	    .copy = p->copy,
	    .data = p->data,
	    .bytes = {(const char *)p, sizeof(*p)}};
}

static void
take_message(struct node *n, const uint8_t *bytes, size_t len)
{
	static struct flow_arena arena;
	struct flow_msg m;

	n->got += len;
	if (!flow_wire_decode(
		(struct str){(const char *)bytes, len}, &arena, &m))
		return;
	if (n->is_agent)
		fa_handle_message(&n->fa, &m, r.now);
	else
		fb_handle_message(&n->fb, &m, r.now);
}

static void
tick(struct node *n, unsigned who)
{
	if (n->is_agent) {
		for (int i = 0; r.set.broken == INV_BOUNDED && i < 3; i++) {
			n->fa.heartbeat_sent_ns =
			    n->fa.remote_heartbeat_sent_ns = 0;
			fa_tick(&n->fa, r.now);
		}
		fa_tick(&n->fa, r.now);
	} else {
		fb_tick(&n->fb, r.now);
		balancer_reads(n);
	}
	post(FB_TICK_MS * NS_PER_MS, EV_TICK, who, n->generation, 0, NULL, 0);
}

/* A process that stood still finds out before it reads what has come. */
static void
wake(struct node *n)
{
	if (n->frozen_until == 0)
		return;
	n->frozen_until = 0;
	if (n->is_agent)
		fa_handle_pause(&n->fa, 1000, r.now);
	else
		fb_handle_pause(&n->fb, 1000, r.now);
}

void
node_event(enum happening what, unsigned who, uint64_t value, const void *bytes,
    size_t len)
{
	struct node *n = &r.nodes[who];
	struct flow_packet p;

	wake(n);
	if (what == EV_PACKET || what == EV_FORWARD || what == EV_BACK) {
		p = view(bytes);
		r.packets++;
	}
	switch (what) {
	case EV_TICK:
		tick(n, who);
		break;
	case EV_MESSAGE:
		take_message(n, bytes, len);
		break;
	case EV_PACKET:
		fb_handle_caller_packet(&n->fb, &p, r.now);
		break;
	case EV_FORWARD:
		fa_handle_caller_packet(&n->fa, value, &p, r.now);
		break;
	case EV_BACK:
		fa_handle_target_packet(&n->fa, &p, r.now);
		break;
	case EV_TRIED:
		fa_handle_check_result(&n->fa,
		    target_alive(who) ? FA_CHECK_ACCEPTED : FA_CHECK_REFUSED,
		    r.now);
		break;
	case EV_STORE:
		n->asking = false;
		take_version(n, value);
		break;
	case EV_FETCHED:
		take_from_peer(n, value);
		break;
	default:
		break;
	}
	if (!n->is_agent)
		fb_flush(&n->fb);
}

/* ---- routers ---- */

void
routers_look(void)
{
	for (unsigned i = 0; i < r.set.balancers; i++) {
		struct node *n = &r.nodes[i];
		bool up = n->alive && r.now >= n->frozen_until &&
			  fb_is_ready(&n->fb, r.now);

		n->routed = up;
	}
	nodes_check();
	post(LOOK_MS * NS_PER_MS, EV_ROUTERS, 0, 0, 0, NULL, 0);
}

unsigned
router_pick(const struct flow_key *flow, unsigned domain)
{
	unsigned best[2] = {r.set.balancers, r.set.balancers};
	uint64_t ranks[2] = {0, 0};

	for (unsigned i = 0; i < r.set.balancers; i++) {
		const struct node *n = &r.nodes[i];
		uint64_t rank = XXH3_64bits_withSeed(flow, sizeof(*flow), i);
		bool far = n->domain != domain;

		if (n->routed &&
		    (best[far] == r.set.balancers || rank > ranks[far])) {
			best[far] = i;
			ranks[far] = rank;
		}
	}
	return best[0] != r.set.balancers ? best[0] : best[1];
}

/* ---- what is asserted ---- */

static bool
all_calm(void)
{
	return r.now > r.last_fault_ns + CALM_MS * NS_PER_MS;
}

void
nodes_check(void)
{
	if (!all_calm() || r.now < r.changed_ns + FORCE_MS * NS_PER_MS)
		return;
	for (unsigned i = 0; i < r.set.balancers; i++) {
		const struct node *n = &r.nodes[i];

		if (calm(n, CALM_MS))
			check(INV_FORCE, n->version == r.version,
			    "balancer %u is at version %llu of %llu", i,
			    (unsigned long long)n->version,
			    (unsigned long long)r.version);
	}
}
