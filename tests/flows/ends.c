#include "run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/** Callers' addresses. */
#define NET_CALLER 0x64000000U
/** A caller thinks for this long between requests, ms. */
#define THINK_LEAST_MS 100
#define THINK_MORE_MS 900
/** Requests of one flow. */
#define PER_FLOW 20
/** A request is given up after this, ms, and sent again meanwhile: longer than
 * the time in which its packets must not all go astray. */
#define DEADLINE_MS 3000
/** An opening is given up after this, ms. */
#define OPENING_MS 1400
/** A target works for this long, ms. */
#define WORK_LEAST_MS 5
#define WORK_MORE_MS 30
#define TARGET_NS 300000
#define WORD_MS 1200
/** What the bound of the users' pages says of stray packets, ms and count. */
#define STRAY_MS 2000
#define STRAY_COUNT 3
/** Machines in touch were calm for this long, ms. */
#define TOUCH_MS 5000
/** A word takes this long to count, ms: packets may be on their way. */
#define WORD_SLACK_MS 100

/* ---- targets ---- */

struct target_flow {
	struct flow_key flow;
	uint32_t seq;
	bool open;
	uint64_t taken; /**< latest request at work, queued or finished */
	uint64_t ran;	/**< latest finished */
	UT_hash_handle hh;
};

struct job {
	struct flow_key flow;
	uint64_t request;
};

struct target_end {
	bool alive;
	unsigned life;
	unsigned speech; /**< words that are due belong to the latest */
	uint64_t id;
	uint64_t started_ms;
	uint64_t sequence;
	uint64_t leaving_ns; /**< said so, and was heard; 0 for no */
	bool leaving;
	uint64_t held_ns; /**< began or crashed */
	unsigned busy;
	struct job queue[QUEUE];
	unsigned queued;
	struct target_flow *flows;
};

enum caller_state {
	IDLE,
	OPENING,
	OPEN,
	ASKING
};

struct caller_end {
	enum caller_state state;
	struct flow_key flow;
	unsigned service;
	uint64_t timer; /**< the one that counts */
	unsigned copies;
	uint64_t began_ns; /**< of the opening or the request */
	unsigned target;   /**< agent of the flow's target */
	unsigned life;	   /**< of the target */
	uint32_t seq;	   /**< target's number */
	uint64_t request;
	unsigned runs; /**< of the request */
	unsigned left; /**< requests that the flow still brings */
	unsigned strays;
	uint64_t stray_ns;
	uint16_t port;
};

static struct target_end *targets;
static struct caller_end *callers;
static uint64_t asked, served, failed, refused, resets, misfits;
static uint64_t asked_before, served_before;

static struct target_end *
target_at(unsigned agent)
{
	return &targets[agent - r.set.balancers];
}

static void
forget_flows(struct target_end *t)
{
	struct target_flow *f, *next;

	HASH_ITER(hh, t->flows, f, next)
	{
		HASH_DEL(t->flows, f);
		free(f);
	}
	t->busy = 0;
	t->queued = 0;
}

void
target_start(unsigned agent)
{
	struct target_end *t = target_at(agent);

	forget_flows(t);
	t->alive = true;
	t->leaving = false;
	t->leaving_ns = 0;
	t->life++;
	t->id = rng_next(&r.rng) | 1;
	t->started_ms = r.now / NS_PER_MS + 1000;
	t->sequence = 0;
	t->held_ns = r.now;
	post(rng_below(&r.rng, 100 * NS_PER_MS), EV_WORD, agent, 0, ++t->speech,
	    NULL, 0);
}

void
target_crash(unsigned agent)
{
	struct target_end *t = target_at(agent);

	t->alive = false;
	t->held_ns = r.now;
	forget_flows(t);
}

bool
target_alive(unsigned agent)
{
	return target_at(agent)->alive;
}

static struct target_heartbeat
word_of(unsigned agent, enum target_state state)
{
	struct target_end *t = target_at(agent);

	return (struct target_heartbeat){.id = t->id,
	    .started_ms = t->started_ms,
	    .sequence = ++t->sequence,
	    .service = service_tag(service_of(agent)),
	    .address = r.nodes[agent].fa.setup.target,
	    .slots = SLOTS,
	    .state = state};
}

static bool
agent_hears(unsigned agent)
{
	const struct node *n = &r.nodes[agent];

	return n->alive && r.now >= n->frozen_until;
}

void
target_speak(unsigned agent, unsigned speech)
{
	struct target_end *t = target_at(agent);
	struct target_heartbeat w;

	if (!t->alive || t->speech != speech)
		return;
	post(WORD_MS * NS_PER_MS, EV_WORD, agent, 0, speech, NULL, 0);
	if (!agent_hears(agent))
		return;
	w = word_of(agent, t->leaving ? TARGET_LEAVING : TARGET_READY);
	if (r.set.broken == INV_LEAVING)
		w.state = TARGET_READY;
	fa_handle_target_heartbeat(&r.nodes[agent].fa, &w, r.now);
	if (t->leaving && t->leaving_ns == 0)
		t->leaving_ns = r.now;
}

void
target_leave(unsigned agent)
{
	struct target_end *t = target_at(agent);

	if (!t->alive || t->leaving)
		return;
	t->leaving = true;
	target_speak(agent, ++t->speech);
}

void
target_end(unsigned agent)
{
	struct target_end *t = target_at(agent);
	struct target_heartbeat w;

	if (!t->alive)
		return;
	if (agent_hears(agent)) {
		w = word_of(agent, TARGET_ABSENT);
		fa_handle_target_heartbeat(&r.nodes[agent].fa, &w, r.now);
	}
	target_crash(agent);
}

/* From the target to its agent. */
static void
send_back(unsigned agent, const struct packet *p)
{
	post(TARGET_NS, EV_BACK, agent, 0, 0, p, sizeof(*p));
}

static void
take_opening(unsigned agent, const struct packet *p)
{
	struct target_end *t = target_at(agent);
	struct packet answer = {.flow = p->flow, .flags = FLOW_SYN | FLOW_ACK};
	struct target_flow *f;

	check(INV_ROUTE, p->flow.service == service_address(service_of(agent)),
	    "an opening reached the target of agent %u", agent);
	check(INV_LEAVING,
	    t->leaving_ns == 0 ||
		r.now < t->leaving_ns + WORD_SLACK_MS * NS_PER_MS,
	    "the target of agent %u got an opening while it leaves", agent);
	HASH_FIND(hh, t->flows, &p->flow, sizeof(p->flow), f);
	if (f == NULL) {
		f = mem_new(sizeof(*f));
		f->flow = p->flow;
		f->seq = (uint32_t)rng_next(&r.rng);
		HASH_ADD(hh, t->flows, flow, sizeof(f->flow), f);
	}
	answer.seq = f->seq;
	answer.tag = agent;
	answer.request = t->life;
	send_back(agent, &answer);
}

static struct caller_end *
caller_of(const struct flow_key *flow)
{
	return &callers[addr_unpack(flow->caller).ip & 0xffffff];
}

/* A packet came to a target that does not hold its flow. */
static void
note_stray(unsigned agent, const struct packet *p)
{
	struct caller_end *c = caller_of(&p->flow);
	const struct node *own = &r.nodes[c->target];

	if (c->state < OPEN || c->flow.caller != p->flow.caller ||
	    c->target == agent || !target_alive(c->target))
		return;
	if (c->strays++ == 0)
		c->stray_ns = r.now;
	if (c->strays < STRAY_COUNT ||
	    r.now < c->stray_ns + STRAY_MS * NS_PER_MS)
		return;
	check(INV_STRAY,
	    !calm(own, TOUCH_MS) || !calm(&r.nodes[agent], TOUCH_MS) ||
		!calm(&r.nodes[p->via], TOUCH_MS) ||
		c->life != target_at(c->target)->life,
	    "%u packets of caller %u reached others, none agent %u", c->strays,
	    addr_unpack(p->flow.caller).ip & 0xffffff, c->target);
}

static void
begin_job(unsigned agent, const struct job *j)
{
	struct target_end *t = target_at(agent);
	struct caller_end *c = caller_of(&j->flow);

	t->busy++;
	if (c->request == j->request) {
		c->runs++;
		check(INV_ONCE, c->runs == 1, "request %llx ran %u times",
		    (unsigned long long)j->request, c->runs);
	}
	post((WORK_LEAST_MS + rng_below(&r.rng, WORK_MORE_MS)) * NS_PER_MS,
	    EV_DONE, agent, t->life, j->request, &j->flow, sizeof(j->flow));
}

static void
answer_request(unsigned agent, const struct target_flow *f, uint64_t request)
{
	const struct packet p = {.flow = f->flow,
	    .seq = f->seq + 1,
	    .flags = FLOW_ACK,
	    .data = 1000,
	    .tag = agent,
	    .request = request};

	send_back(agent, &p);
}

static void
take_request(unsigned agent, struct target_flow *f, const struct packet *p)
{
	struct target_end *t = target_at(agent);
	const struct job j = {p->flow, p->request};

	if (f->ran == p->request) {
		answer_request(agent, f, p->request);
		return;
	}
	/* Requests of a flow come in order; an older one is a late copy. */
	if (f->taken >= p->request && r.set.broken != INV_ONCE)
		return;
	if (t->busy < SLOTS) {
		f->taken = p->request;
		begin_job(agent, &j);
	} else if (t->queued < QUEUE) {
		f->taken = p->request;
		t->queue[t->queued++] = j;
	}
}

void
target_done(unsigned agent, unsigned life, uint64_t request,
    const struct flow_key *flow)
{
	struct target_end *t = target_at(agent);
	struct target_flow *f;

	if (!t->alive || t->life != life)
		return;
	t->busy--;
	HASH_FIND(hh, t->flows, flow, sizeof(*flow), f);
	if (f != NULL) {
		f->ran = request;
		answer_request(agent, f, request);
	}
	if (t->queued == 0)
		return;
	begin_job(agent, &t->queue[0]);
	t->queued--;
	memmove(&t->queue[0], &t->queue[1], t->queued * sizeof(t->queue[0]));
}

void
target_packet(unsigned agent, const struct packet *p)
{
	struct target_end *t = target_at(agent);
	struct packet back = *p;
	struct target_flow *f;

	if (!t->alive)
		return;
	if ((p->flags & FLOW_SYN) != 0) {
		take_opening(agent, p);
		return;
	}
	HASH_FIND(hh, t->flows, &p->flow, sizeof(p->flow), f);
	if (f == NULL || p->ack - f->seq > (1U << 20)) {
		misfits++;
		note_stray(agent, p);
		back.flags |= FLOW_RETURNED;
		send_back(agent, &back);
		return;
	}
	f->open = true;
	caller_of(&p->flow)->strays = 0;
	if ((p->flags & (FLOW_FIN | FLOW_RST)) != 0) {
		HASH_DEL(t->flows, f);
		free(f);
	} else if (p->request != 0) {
		take_request(agent, f, p);
	}
}

/* ---- callers ---- */

static void
set_timer(unsigned who, uint64_t ms)
{
	post(ms * NS_PER_MS, EV_TIMER, who, 0, ++callers[who].timer, NULL, 0);
}

static void
send_caller(unsigned who, const struct packet *p)
{
	unsigned domain = who % r.set.domains;
	unsigned to = router_pick(&p->flow, domain);

	if (to < r.set.balancers)
		send_link(domain, r.nodes[to].domain, EV_PACKET, to, 0, p,
		    sizeof(*p));
}

static void
send_opening(unsigned who)
{
	struct caller_end *c = &callers[who];
	const struct packet p = {
	    .flow = c->flow, .flags = FLOW_SYN, .copy = c->copies};

	send_caller(who, &p);
}

static void
send_request(unsigned who)
{
	struct caller_end *c = &callers[who];
	const struct packet p = {.flow = c->flow,
	    .ack = c->seq + 1,
	    .flags = FLOW_ACK,
	    .data = 300,
	    .request = c->request};

	send_caller(who, &p);
}

static void
open_flow(unsigned who)
{
	struct caller_end *c = &callers[who];

	c->port = (uint16_t)(c->port < 1024 ? 1024 : c->port + 1);
	c->flow = (struct flow_key){
	    addr_pack((struct addr){NET_CALLER + who, c->port}),
	    service_address(c->service)};
	c->state = OPENING;
	c->copies = 0;
	c->left = 1 + (unsigned)rng_below(&r.rng, PER_FLOW);
	c->strays = 0;
	c->began_ns = r.now;
	send_opening(who);
	set_timer(who, 200);
}

static void
ask(unsigned who)
{
	struct caller_end *c = &callers[who];

	c->state = ASKING;
	c->request = (uint64_t)who << 32 | (uint32_t)(++asked);
	c->runs = 0;
	c->copies = 0;
	c->left--;
	c->began_ns = r.now;
	send_request(who);
	set_timer(who, 200);
}

static void
think(unsigned who)
{
	set_timer(who, THINK_LEAST_MS + rng_below(&r.rng, THINK_MORE_MS));
}

static void
end_flow(unsigned who)
{
	callers[who].state = IDLE;
	think(who);
}

/* Copies of an opening go out after 200 and 600 ms, of a request likewise. */
static void
repeat(unsigned who)
{
	struct caller_end *c = &callers[who];
	uint64_t waited = (r.now - c->began_ns) / NS_PER_MS;
	uint64_t most = c->state == OPENING ? OPENING_MS : DEADLINE_MS;

	if (waited >= most) {
		failed++;
		end_flow(who);
		return;
	}
	c->copies++;
	if (c->state == OPENING && c->copies <= 2)
		send_opening(who);
	else if (c->state == ASKING)
		send_request(who);
	waited = 200ULL << c->copies;
	set_timer(who, waited > 800 ? 800 : waited);
}

static void
close_flow(unsigned who)
{
	struct caller_end *c = &callers[who];
	const struct packet p = {
	    .flow = c->flow, .ack = c->seq + 1, .flags = FLOW_FIN | FLOW_ACK};

	send_caller(who, &p);
	end_flow(who);
}

void
caller_timer(unsigned who, uint64_t tick)
{
	struct caller_end *c = &callers[who];

	if (tick != c->timer)
		return;
	switch (c->state) {
	case IDLE:
		open_flow(who);
		break;
	case OPENING:
	case ASKING:
		repeat(who);
		break;
	case OPEN:
		if (c->left > 0)
			ask(who);
		else
			close_flow(who);
		break;
	}
}

/* A reset of the system's own: only for a flow whose target does not live. */
static void
take_reset(unsigned who, const struct packet *p)
{
	struct caller_end *c = &callers[who];
	const struct node *by = &r.nodes[p->request - 1];

	resets++;
	if (c->state == OPENING) {
		refused++;
	} else {
		const struct target_end *t = target_at(c->target);

		check(INV_RESET,
		    !t->alive || t->life != c->life || t->leaving ||
			!calm(by, TOUCH_MS) ||
			!calm(&r.nodes[c->target], TOUCH_MS),
		    "caller %u, state %d, at the target of agent %u, was "
		    "reset by %s %u",
		    who, (int)c->state, c->target,
		    by->is_agent ? "agent" : "balancer",
		    (unsigned)(p->request - 1));
		failed += c->state == ASKING ? 1 : 0;
	}
	end_flow(who);
}

void
caller_packet(unsigned who, const struct packet *p)
{
	struct caller_end *c = &callers[who];

	if (c->state == IDLE || p->flow.caller != c->flow.caller)
		return;
	if ((p->flags & FLOW_RST) != 0) {
		take_reset(who, p);
		return;
	}
	if ((p->flags & FLOW_SYN) != 0) {
		if (c->state != OPENING)
			return;
		c->target = p->tag;
		c->life = (unsigned)p->request;
		c->seq = p->seq;
		ask(who);
		return;
	}
	if (c->state != ASKING || p->request != c->request)
		return;
	served++;
	c->state = OPEN;
	think(who);
}

/* ---- the whole ---- */

void
ends_begin(void)
{
	unsigned services =
	    (r.set.agents + r.set.per_service - 1) / r.set.per_service;

	targets = mem_grow(NULL, r.set.agents, sizeof(*targets));
	memset(targets, 0, r.set.agents * sizeof(*targets));
	callers = mem_grow(NULL, r.set.callers, sizeof(*callers));
	memset(callers, 0, r.set.callers * sizeof(*callers));
	for (unsigned i = 0; i < r.set.agents; i++)
		target_start(r.set.balancers + i);
	for (unsigned i = 0; i < r.set.callers; i++) {
		callers[i].service = i / r.set.domains % services;
		set_timer(i, 3000 + rng_below(&r.rng, 1000));
	}
}

void
ends_end(void)
{
	for (unsigned i = 0; i < r.set.agents; i++)
		forget_flows(&targets[i]);
	free(targets);
	free(callers);
}

unsigned
served_ppm(void)
{
	uint64_t of = asked - asked_before;
	uint64_t was = served - served_before;

	asked_before = asked;
	served_before = served;
	return of == 0 ? 0 : (unsigned)(was * 1000000 / of);
}

void
ends_print(void)
{
	printf("callers: asked %llu served %llu failed %llu refused %llu "
	       "resets %llu strays %llu\n",
	    (unsigned long long)asked, (unsigned long long)served,
	    (unsigned long long)failed, (unsigned long long)refused,
	    (unsigned long long)resets, (unsigned long long)misfits);
}
