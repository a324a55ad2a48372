#include "endpoints.h"

#include <stdlib.h>
#include <string.h>

/** Processing time of a request: minimum and range, in ms. */
#define WORK_MIN_MS 5
#define WORK_RANGE_MS 30
/** Load modes: share of the requests that take longer, in thousandths, and the
 * factor. */
#define WORK_TAIL_MILLI 30
#define WORK_TAIL_FACTOR 7
/** Time constant of the smoothed share of busy slots, in us. */
#define BUSY_WINDOW_US 100000
#define TARGET_DELAY_NS 300000
/** Bound from the users' documentation: of a live flow's packets, STRAY_LIMIT
 * in a row over STRAY_WINDOW_MS ms must not all reach wrong targets. */
#define STRAY_WINDOW_MS 2000
#define STRAY_LIMIT 3
/** Time after a leaving target's first heartbeat in which openings may still
 * arrive, in ms, because packets may be in flight. */
#define LEAVING_GRACE_MS 100

static struct sim_target *targets;
static uint64_t stray_packets;
/** Busy slots of all targets, and their smoothed share; meaningful while no
 * target crashes. */
static unsigned busy_slots;
static int64_t busy_ppm;
static uint64_t busy_updated_ns;

struct sim_target *
get_target(unsigned agent)
{
	return &targets[agent - sim.options.balancers];
}

static void
clear_flows(struct sim_target *t)
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
	struct sim_target *t = get_target(agent);

	clear_flows(t);
	t->alive = true;
	t->leaving = false;
	t->leaving_sent_ns = 0;
	t->incarnation++;
	t->id = rng_next(&sim.rng) | 1;
	t->started_ms = sim.now / NS_PER_MS + 1000;
	t->sequence = 0;
	t->disturbed_until_ns = sim.now;
	t->cold_until_ns = sim.now + COLD_MS * NS_PER_MS;
	memset(t->openings_ns, 0, sizeof(t->openings_ns));
	schedule_event(rng_below(&sim.rng, 100 * NS_PER_MS),
	    EV_TARGET_HEARTBEAT, agent, 0, ++t->heartbeat_timer, NULL, 0);
}

void
target_crash(unsigned agent)
{
	struct sim_target *t = get_target(agent);

	t->alive = false;
	t->disturbed_until_ns = sim.now;
	clear_flows(t);
}

bool
target_is_alive(unsigned agent)
{
	return get_target(agent)->alive;
}

static struct target_heartbeat
make_heartbeat(unsigned agent, enum target_state state)
{
	struct sim_target *t = get_target(agent);

	return (struct target_heartbeat){.id = t->id,
	    .started_ms = t->started_ms,
	    .sequence = ++t->sequence,
	    .service = service_tag(agent_service(agent)),
	    .address = sim.nodes[agent].fa.setup.target,
	    .slots = TARGET_SLOTS,
	    .cold_ms =
		sim.now < t->cold_until_ns
		    ? (uint32_t)((t->cold_until_ns - sim.now) / NS_PER_MS)
		    : 0,
	    .state = state};
}

static bool
agent_is_running(unsigned agent)
{
	const struct node *n = &sim.nodes[agent];

	return n->alive && sim.now >= n->frozen_until_ns;
}

void
target_send_heartbeat(unsigned agent, unsigned heartbeat_timer)
{
	struct sim_target *t = get_target(agent);
	struct target_heartbeat w;

	if (!t->alive || t->heartbeat_timer != heartbeat_timer)
		return;
	schedule_event(TARGET_HEARTBEAT_MS * NS_PER_MS, EV_TARGET_HEARTBEAT,
	    agent, 0, heartbeat_timer, NULL, 0);
	if (!agent_is_running(agent))
		return;
	w = make_heartbeat(agent, t->leaving ? TARGET_LEAVING : TARGET_READY);
	if (sim.options.broken_invariant == INV_LEAVING)
		w.state = TARGET_READY;
	fa_handle_target_heartbeat(&sim.nodes[agent].fa, &w, sim.now);
	if (t->leaving && t->leaving_sent_ns == 0)
		t->leaving_sent_ns = sim.now;
}

void
target_leave(unsigned agent)
{
	struct sim_target *t = get_target(agent);

	if (!t->alive || t->leaving)
		return;
	t->leaving = true;
	target_send_heartbeat(agent, ++t->heartbeat_timer);
}

void
target_stop(unsigned agent)
{
	struct sim_target *t = get_target(agent);
	struct target_heartbeat w;

	if (!t->alive)
		return;
	if (agent_is_running(agent)) {
		w = make_heartbeat(agent, TARGET_ABSENT);
		fa_handle_target_heartbeat(&sim.nodes[agent].fa, &w, sim.now);
	}
	target_crash(agent);
}

/* Sends a packet from a target to its agent. */
static void
send_to_agent(unsigned agent, const struct packet *p)
{
	schedule_event(
	    TARGET_DELAY_NS, EV_FROM_TARGET, agent, 0, 0, p, sizeof(*p));
}

/* Counts the openings of new flows in the second that ends now. */
static void
check_cold(unsigned agent)
{
	struct sim_target *t = get_target(agent);

	memmove(&t->openings_ns[0], &t->openings_ns[1],
	    COLD_OPENINGS_MAX * sizeof(t->openings_ns[0]));
	t->openings_ns[COLD_OPENINGS_MAX] = sim.now;
	if (sim.now >= t->cold_until_ns)
		return;
	check_invariant(INV_COLD,
	    t->openings_ns[0] == 0 || sim.now >= t->openings_ns[0] + NS_PER_S,
	    "the cold target of agent %u got %u openings in a second", agent,
	    COLD_OPENINGS_MAX + 1);
}

static void
handle_opening(unsigned agent, const struct packet *p)
{
	struct sim_target *t = get_target(agent);
	struct packet response = {
	    .flow = p->flow, .flags = FLOW_SYN | FLOW_ACK};
	struct target_flow *f;

	check_invariant(INV_ROUTE,
	    address_service(p->flow.service) == agent_service(agent) ||
		p->flow.service == priority_address(agent_service(agent)),
	    "an opening reached the target of agent %u", agent);
	check_invariant(INV_LEAVING,
	    t->leaving_sent_ns == 0 ||
		sim.now < t->leaving_sent_ns + LEAVING_GRACE_MS * NS_PER_MS,
	    "the target of agent %u got an opening after it reported leaving",
	    agent);
	HASH_FIND(hh, t->flows, &p->flow, sizeof(p->flow), f);
	if (f != NULL && f->opening_seq != p->seq) {
		HASH_DEL(t->flows, f);
		free(f);
		f = NULL;
	}
	if (f == NULL) {
		check_evacuated(agent, p->forwarded_by);
		check_cold(agent);
		f = mem_new(sizeof(*f));
		f->flow = p->flow;
		f->opening_seq = p->seq;
		f->seq = (uint32_t)rng_next(&sim.rng);
		HASH_ADD(hh, t->flows, flow, sizeof(f->flow), f);
	}
	response.seq = f->seq;
	response.tag = agent;
	response.request = t->incarnation;
	send_to_agent(agent, &response);
}

/* Records a packet that reached a target which does not hold its flow. */
static void
record_stray(unsigned agent, const struct packet *p)
{
	struct sim_caller *c = get_caller(&p->flow);
	const struct node *owner = &sim.nodes[c->target];

	if (c->state < OPEN || c->flow.caller != p->flow.caller ||
	    c->target == agent || !target_is_alive(c->target))
		return;
	if (c->strays++ == 0)
		c->first_stray_ns = sim.now;
	if (c->strays < STRAY_LIMIT ||
	    sim.now < c->first_stray_ns + STRAY_WINDOW_MS * NS_PER_MS)
		return;
	check_invariant(INV_STRAY,
	    !node_is_undisturbed(owner, ENDPOINTS_STABLE_MS) ||
		!node_is_undisturbed(&sim.nodes[agent], ENDPOINTS_STABLE_MS) ||
		!node_is_undisturbed(
		    &sim.nodes[p->forwarded_by], ENDPOINTS_STABLE_MS) ||
		c->incarnation != get_target(c->target)->incarnation,
	    "%u packets of caller %u reached other targets, none the target of "
	    "agent %u",
	    c->strays, addr_unpack(p->flow.caller).ip & 0xffffff, c->target);
}

/* Work of one request relative to that of an equal target, in thousandths. */
static unsigned
work_factor_milli(unsigned agent)
{
	static const unsigned unequal[] = {600, 1000, 1600};
	unsigned at = (agent - sim.options.balancers) / LOAD_DOMAINS;

	if (sim.options.load.slow_fifth && at % 5 == 0)
		return 5000;
	return sim.options.load.unequal ? unequal[at % 3] : 1000;
}

/* Smooth the share of busy slots; to be called before it changes. */
static void
update_busy(void)
{
	int64_t now_ppm =
	    (int64_t)busy_slots * 1000000 / (sim.options.agents * TARGET_SLOTS);
	int64_t passed_us = (int64_t)((sim.now - busy_updated_ns) / NS_PER_US);

	busy_updated_ns = sim.now;
	busy_ppm +=
	    (now_ppm - busy_ppm) * passed_us / (passed_us + BUSY_WINDOW_US);
}

static uint64_t
work_ns(unsigned agent)
{
	uint64_t ms = WORK_MIN_MS + rng_below(&sim.rng, WORK_RANGE_MS);

	if (!sim.options.load.enabled)
		return ms * NS_PER_MS;
	if (rng_below(&sim.rng, 1000) < WORK_TAIL_MILLI)
		ms *= WORK_TAIL_FACTOR;
	return ms * work_factor_milli(agent) * NS_PER_US;
}

static void
start_job(unsigned agent, const struct job *j)
{
	struct sim_target *t = get_target(agent);
	struct sim_caller *c = get_caller(&j->flow);

	update_busy();
	busy_slots++;
	t->busy++;
	if (c->request == j->request) {
		c->executions++;
		check_invariant(INV_ONCE, c->executions == 1,
		    "request %llx was executed %u times",
		    (unsigned long long)j->request, c->executions);
	}
	schedule_event(work_ns(agent), EV_REQUEST_DONE, agent, t->incarnation,
	    j->request, &j->flow, sizeof(j->flow));
}

static void
send_response(unsigned agent, const struct target_flow *f, uint64_t request)
{
	const struct packet p = {.flow = f->flow,
	    .seq = f->seq + 1,
	    .flags = FLOW_ACK,
	    .data = 1000,
	    .tag = agent,
	    .request = request};

	send_to_agent(agent, &p);
}

static void
shed_request(unsigned agent, const struct target_flow *f, uint64_t request)
{
	const struct packet p = {.flow = f->flow,
	    .seq = f->seq + 1,
	    .flags = FLOW_ACK,
	    .data = 100,
	    .tag = agent,
	    .request = request,
	    .shed = true};

	send_to_agent(agent, &p);
}

static void
handle_request(unsigned agent, struct target_flow *f, const struct packet *p)
{
	struct sim_target *t = get_target(agent);
	const struct job j = {p->flow, p->request};

	if (f->last_finished_request == p->request) {
		send_response(agent, f, p->request);
		return;
	}
	/* Request ids increase within a flow; a smaller or equal one is a late
	 * copy. */
	if (f->last_accepted_request >= p->request &&
	    sim.options.broken_invariant != INV_ONCE)
		return;
	if (t->busy < TARGET_SLOTS) {
		f->last_accepted_request = p->request;
		start_job(agent, &j);
	} else if (t->queued < TARGET_QUEUE_MAX) {
		f->last_accepted_request = p->request;
		t->queue[t->queued++] = j;
	} else if (sim.options.single_requests || sim.options.priorities) {
		shed_request(agent, f, p->request);
	}
}

void
target_finish_request(unsigned agent, unsigned incarnation, uint64_t request,
    const struct flow_key *flow)
{
	struct sim_target *t = get_target(agent);
	struct target_flow *f;

	if (!t->alive || t->incarnation != incarnation)
		return;
	update_busy();
	busy_slots--;
	t->busy--;
	HASH_FIND(hh, t->flows, flow, sizeof(*flow), f);
	if (f != NULL) {
		f->last_finished_request = request;
		send_response(agent, f, request);
	}
	if (t->queued == 0)
		return;
	start_job(agent, &t->queue[0]);
	t->queued--;
	memmove(&t->queue[0], &t->queue[1], t->queued * sizeof(t->queue[0]));
}

static void
confirm_end(unsigned agent, const struct target_flow *f)
{
	const struct packet p = {.flow = f->flow,
	    .seq = f->seq + 1,
	    .flags = FLOW_FIN | FLOW_ACK,
	    .tag = agent};

	send_to_agent(agent, &p);
}

void
target_handle_packet(unsigned agent, const struct packet *p)
{
	struct sim_target *t = get_target(agent);
	struct packet returned = *p;
	struct target_flow *f;

	if (!t->alive)
		return;
	if ((p->flags & FLOW_SYN) != 0) {
		handle_opening(agent, p);
		return;
	}
	HASH_FIND(hh, t->flows, &p->flow, sizeof(p->flow), f);
	if (f == NULL || p->ack - f->seq > (1U << 20)) {
		stray_packets++;
		record_stray(agent, p);
		returned.flags |= FLOW_RETURNED;
		send_to_agent(agent, &returned);
		return;
	}
	f->open = true;
	get_caller(&p->flow)->strays = 0;
	if ((p->flags & (FLOW_FIN | FLOW_RST)) != 0) {
		if (sim.options.reuse_ports && (p->flags & FLOW_FIN) != 0)
			confirm_end(agent, f);
		HASH_DEL(t->flows, f);
		free(f);
	} else if (p->request != 0) {
		handle_request(agent, f, p);
	}
}

/* ---- set-up and statistics ---- */

void
targets_init(void)
{
	targets = mem_grow(NULL, sim.options.agents, sizeof(*targets));
	memset(targets, 0, sim.options.agents * sizeof(*targets));
	for (unsigned i = 0; i < sim.options.agents; i++)
		target_start(sim.options.balancers + i);
}

void
targets_free(void)
{
	for (unsigned i = 0; i < sim.options.agents; i++)
		clear_flows(&targets[i]);
	free(targets);
}

uint64_t
targets_stray_count(void)
{
	return stray_packets;
}

unsigned
targets_busy_milli(void)
{
	unsigned smoothed, present;

	update_busy();
	smoothed = (unsigned)(busy_ppm / 1000);
	present = busy_slots * 1000 / (sim.options.agents * TARGET_SLOTS);
	return smoothed > present ? smoothed : present;
}

uint64_t
targets_domain_rate_milli(unsigned domain)
{
	uint64_t work_us =
	    (WORK_MIN_MS * 1000 + (WORK_RANGE_MS - 1) * 500) * UINT64_C(1) *
	    (1000 + WORK_TAIL_MILLI * (WORK_TAIL_FACTOR - 1)) / 1000;
	uint64_t rate = 0;

	for (unsigned i = 0; i < sim.options.agents; i++) {
		unsigned agent = sim.options.balancers + i;

		if (sim.nodes[agent].domain == domain)
			rate += TARGET_SLOTS * UINT64_C(1000000000000) /
				(work_us * work_factor_milli(agent));
	}
	return rate;
}

unsigned
targets_capacity_per_s(void)
{
	return sim.options.agents * TARGET_SLOTS * 1000 /
	       (WORK_MIN_MS + WORK_RANGE_MS / 2);
}
