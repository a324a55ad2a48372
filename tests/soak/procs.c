#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FROZEN_QUEUE 400
/** Limit of a process's control traffic, averaged since its start. */
#define CONTROL_BYTES_PER_S_MAX 13000
#define CONTROL_WINDOW_NS (30 * NS_PER_S)
#define FLOW_CAPACITY (CALLERS + 16)
#define PERMIT_CAPACITY (CALLERS * 85)

static unsigned
proc_index(struct addr a)
{
	return a.port - 7000U;
}

static unsigned
agent_service(unsigned who)
{
	return who - BALANCERS < 6 ? 0 : 1;
}

static void
count_control_bytes(struct proc *p, const struct msg *m, size_t len)
{
	if (m->kind != MSG_DATAGRAM && m->kind != MSG_ANSWER)
		p->control_bytes +=
		    is_broken(INV_RESOURCE_BOUNDS) ? len * 8 : len;
}

static void
send_message(void *ctx, struct addr to, const struct msg *m)
{
	struct proc *p = ctx;
	uint8_t buf[WIRE_UDP_MAX];
	size_t n = wire_encode(&w.keys, m, buf, sizeof(buf));
	unsigned dst = proc_index(to);

	check(INV_RESOURCE_BOUNDS, n > 0, "message does not fit into a frame");
	count_control_bytes(p, m, n);
	if (dst < BALANCERS + AGENTS)
		send_link(p->domain, w.procs[dst].domain, EV_FRAME, dst,
		    proc_index(p->addr), 0, buf, n);
}

static void
send_caller(void *ctx, const struct flow_key *flow, struct str bytes)
{
	struct proc *p = ctx;
	unsigned caller = addr_unpack(flow->caller).port - 9000U;

	check(
	    INV_RIGHT_PLACE, caller < CALLERS, "response to an unknown caller");
	if (is_broken(INV_RIGHT_PLACE) && rng_chance(&w.rng, 1000))
		bytes.len -= 1;
	if (caller < CALLERS)
		send_link(p->domain, p->domain, EV_TO_CALLER, caller, 0, 0,
		    bytes.p, bytes.len);
}

static void
fetch_config(void *ctx, struct addr from, uint64_t version)
{
	struct proc *p = ctx;
	unsigned src = proc_index(from);

	(void)version;
	if (!w.procs[src].alive || w.procs[src].frozen_until_ns > w.now)
		return;
	if (are_linked(p->domain, w.procs[src].domain) &&
	    !is_broken(INV_CONFIG))
		post(12 * NS_PER_MS, EV_FETCHED, proc_index(p->addr), src, 0,
		    NULL, 0);
}

static void
send_target(void *ctx, struct str dgram)
{
	struct proc *p = ctx;

	post(NS_PER_MS / 10, EV_TO_TARGET, proc_index(p->addr), 0, 0, dgram.p,
	    dgram.len);
	if (is_broken(INV_RUN_ONCE))
		post(NS_PER_MS, EV_TO_TARGET, proc_index(p->addr), 0, 0,
		    dgram.p, dgram.len);
}

static void
start_balancer(struct proc *p)
{
	struct bal_params params = {.self = p->self,
	    .seed_count = 4,
	    .hint_capacity = 64,
	    .control_budget = 9000};
	struct bal_ops ops = {send_message, send_caller, fetch_config, p};

	for (unsigned i = 0; i < params.seed_count; i++)
		params.seeds[i] =
		    (struct addr){0x7f000001, (uint16_t)(7000 + i)};
	p->bal = bal_new(&params, &ops, &p->rng, &p->ctr, w.now);
}

static void
start_agent(struct proc *p)
{
	struct agt_params params = {.self = p->self,
	    .seed_count = 4,
	    .flow_capacity = FLOW_CAPACITY,
	    .permit_capacity = PERMIT_CAPACITY,
	    .keep_copies = true};
	struct agt_ops ops = {send_message, send_target, p};

	for (unsigned i = 0; i < params.seed_count; i++)
		params.seeds[i] =
		    (struct addr){0x7f000001, (uint16_t)(7000 + i)};
	p->agt = agt_new(&params, &coap_proto, &ops, &p->rng, &p->ctr, w.now);
}

void
proc_start(unsigned who)
{
	struct proc *p = &w.procs[who];
	uint64_t version = p->version;
	unsigned generation = p->generation + 1;

	*p = (struct proc){.alive = true,
	    .is_agent = who >= BALANCERS,
	    .domain = who % DOMAINS,
	    .generation = generation,
	    .started_ns = w.now,
	    .disturbed_ns = w.now,
	    .version = version,
	    .addr = {0x7f000001, (uint16_t)(7000 + who)}};
	rng_init(&p->rng, rng_next(&w.rng));
	p->self = (struct member){.id = 0x1000000ULL * (who + 1) + who,
	    .incarnation = w.now,
	    .seq = 1,
	    .addr = p->addr};
	snprintf(p->self.domain, sizeof(p->self.domain), "d%u", p->domain);
	if (p->is_agent) {
		p->self.role = MBR_AGENT;
		p->self.service = service_id(agent_service(who));
		start_agent(p);
	} else {
		p->self.role = MBR_BALANCER;
		start_balancer(p);
	}
	post(rng_below(&w.rng, 20 * NS_PER_MS), EV_TICK, who, 0, 0, NULL, 0);
}

void
proc_kill(unsigned who)
{
	struct proc *p = &w.procs[who];

	trace_event("%s %u ends", p->is_agent ? "agent" : "balancer", who);
	p->alive = false;
	p->disturbed_ns = w.now;
	agt_free(p->agt);
	bal_free(p->bal);
	p->agt = NULL;
	p->bal = NULL;
}

uint64_t
proc_config_version(const struct proc *p)
{
	struct agt_status v;

	if (!p->is_agent)
		return bal_config(p->bal)->version;
	agt_get_status(p->agt, &v);
	return v.version;
}

static void
apply_config(struct proc *p, struct str text, uint64_t version)
{
	struct cfg c;

	if (cfg_parse(text, "soak", &c).code != STATUS_OK)
		abort();
	c.version = version;
	bal_apply_config(p->bal, &c);
}

static void
on_fetched(struct proc *p, unsigned src)
{
	const struct cfg *theirs;

	if (src == UINT32_MAX) {
		struct str text;
		uint64_t version = platform_version(&text);

		if (version > 0)
			apply_config(p, text, version);
		return;
	}
	if (!w.procs[src].alive)
		return;
	theirs = bal_config(w.procs[src].bal);
	if (theirs->version > 0)
		apply_config(p, (struct str){theirs->text, theirs->text_len},
		    theirs->version);
}

static void
on_frame(struct proc *p, const struct event *e)
{
	static struct wire_arena arena;
	struct msg m;
	struct str frame = {(const char *)e->bytes, e->len};

	if (wire_decode(&w.keys, frame, &arena, &m) != WIRE_OK) {
		check(INV_RESOURCE_BOUNDS, false, "frame cannot be decoded");
		return;
	}
	if (p->is_agent)
		agt_handle_message(p->agt, &m, w.now);
	else
		bal_handle_message(p->bal, &m, w.procs[e->value].addr, w.now);
}

static void
check_version(struct proc *p)
{
	uint64_t v = proc_config_version(p);

	if (v == 0)
		return;
	check(INV_CONFIG, v >= p->version,
	    "%s %ld applied version %llu after %llu",
	    p->is_agent ? "agent" : "balancer", (long)(p - w.procs),
	    (unsigned long long)v, (unsigned long long)p->version);
	p->version = v;
}

static void
finish_stop(unsigned who)
{
	struct proc *p = &w.procs[who];
	struct agt_status v;

	if (p->is_agent) {
		agt_get_status(p->agt, &v);
		check(INV_LEAVING,
		    !w.planned_only || v.in_flight + v.queued + v.feeds == 0,
		    "agent %u stopped with %u requests and %zu feeds", who,
		    v.in_flight + v.queued, v.feeds);
		target_restart(who);
	} else {
		bal_announce_left(p->bal, w.now);
	}
	proc_kill(who);
	p->restart_ns =
	    w.now + 500 * NS_PER_MS + rng_below(&w.rng, 3 * NS_PER_S);
}

static void
on_tick(unsigned who)
{
	struct proc *p = &w.procs[who];
	struct agt_status v;

	post((p->is_agent ? AGT_TICK_MS : BAL_TICK_MS) * NS_PER_MS, EV_TICK,
	    who, 0, 0, NULL, 0);
	if (!p->is_agent) {
		bal_tick(p->bal, w.now);
		check_version(p);
		if (p->stop_ns != 0 && w.now > p->stop_ns + 3 * NS_PER_S)
			finish_stop(who);
		return;
	}
	agt_tick(p->agt, w.now);
	check_version(p);
	agt_get_status(p->agt, &v);
	if (v.leave_ns != 0 && v.last_request_start_ns > v.leave_ns)
		check(INV_LEAVING,
		    v.last_request_start_ns <= v.leave_ns + 5 * NS_PER_S,
		    "agent %u started a request after its leave period", who);
	if (agt_is_stopped(p->agt))
		finish_stop(who);
}

void
proc_event(const struct event *e)
{
	struct proc *p = &w.procs[e->who];

	if (!p->alive || e->generation != p->generation)
		return;
	if (p->frozen_until_ns > w.now) {
		/* Datagrams for a frozen process wait in its socket buffer. */
		post(p->frozen_until_ns - w.now + e->order % 1000, e->kind,
		    e->who, e->value, e->value2, e->bytes, e->len);
		return;
	}
	switch (e->kind) {
	case EV_TICK:
		on_tick(e->who);
		break;
	case EV_FRAME:
		on_frame(p, e);
		break;
	case EV_CALLER_IN: {
		struct flow_key flow = {e->value, e->value2};

		bal_handle_caller_datagram(p->bal, &flow,
		    (struct str){(const char *)e->bytes, e->len}, w.now);
		break;
	}
	case EV_FROM_TARGET:
		agt_handle_target_datagram(p->agt,
		    (struct str){(const char *)e->bytes, e->len}, w.now);
		break;
	case EV_FETCHED:
		on_fetched(p, (unsigned)e->value);
		break;
	default:
		break;
	}
}

static void
check_agent(unsigned who)
{
	struct proc *p = &w.procs[who];
	struct agt_status v;

	agt_get_status(p->agt, &v);
	check(INV_RESOURCE_BOUNDS,
	    v.flows <= FLOW_CAPACITY + CALLERS && v.entries <= FLOW_CAPACITY &&
		v.permits <= PERMIT_CAPACITY && v.queued <= 32,
	    "agent %u: flows %zu entries %zu permits %zu queued %u", who,
	    v.flows, v.entries, v.permits, v.queued);
	if (is_broken(INV_RETRY_BUDGET))
		v.retries *= 4;
	check(INV_RETRY_BUDGET, v.retries * 100 <= 10 * 100 + v.successes * 11,
	    "agent %u: %u retries for %u successes", who, v.retries,
	    v.successes);
}

void
procs_check(void)
{
	for (unsigned i = 0; i < BALANCERS + AGENTS; i++) {
		struct proc *p = &w.procs[i];
		uint64_t uptime_ns;

		if (!p->alive) {
			if (p->restart_ns != 0 && w.now >= p->restart_ns)
				proc_start(i);
			continue;
		}
		if (p->is_agent)
			check_agent(i);
		uptime_ns = w.now - p->started_ns;
		if (uptime_ns > CONTROL_WINDOW_NS)
			check(INV_RESOURCE_BOUNDS,
			    p->control_bytes <= CONTROL_BYTES_PER_S_MAX *
						    (uptime_ns / NS_PER_S + 1),
			    "process %u sent %llu control bytes in %llu s", i,
			    (unsigned long long)p->control_bytes,
			    (unsigned long long)(uptime_ns / NS_PER_S));
	}
}

/* ---- faults ---- */

static unsigned
count_running(unsigned first, unsigned count, unsigned group)
{
	unsigned n = 0;

	for (unsigned i = first; i < first + count; i++) {
		if (w.procs[i].alive && w.procs[i].stop_ns == 0 &&
		    w.procs[i].frozen_until_ns <= w.now &&
		    (group == UINT32_MAX || agent_service(i) == group))
			n++;
	}
	return n;
}

static bool
can_lose(unsigned who, unsigned spare)
{
	if (!w.procs[who].alive || w.procs[who].stop_ns != 0)
		return false;
	if (w.procs[who].frozen_until_ns > w.now ||
	    w.now < w.procs[who].started_ns + 5 * NS_PER_S)
		return false;
	if (who < BALANCERS)
		return count_running(0, BALANCERS, UINT32_MAX) > spare + 1;
	return count_running(BALANCERS, AGENTS, agent_service(who)) > spare;
}

static void
kill_and_restart(unsigned who, uint64_t after_ns)
{
	proc_kill(who);
	w.procs[who].restart_ns = w.now + after_ns;
}

static void
begin_planned_stop(unsigned who)
{
	struct proc *p = &w.procs[who];

	if (is_broken(INV_PLANNED_CHANGE)) {
		kill_and_restart(who, NS_PER_S);
		return;
	}
	trace_event("planned stop of process %u", who);
	p->stop_ns = w.now;
	if (p->is_agent)
		agt_leave(p->agt, w.now);
	else
		bal_leave(p->bal, w.now);
}

/* Stops all agents of a service at the same time. */
static void
stop_service(unsigned service)
{
	for (unsigned i = BALANCERS; i < BALANCERS + AGENTS; i++) {
		struct proc *p = &w.procs[i];

		if (agent_service(i) == service && p->alive &&
		    p->stop_ns == 0 && p->frozen_until_ns <= w.now)
			begin_planned_stop(i);
	}
}

static void
partition_domains(void)
{
	unsigned a = (unsigned)rng_below(&w.rng, DOMAINS);
	unsigned b = (a + 1) % DOMAINS;
	uint64_t until = w.now + rng_below(&w.rng, 20 * NS_PER_S);

	trace_event("partition between d%u and d%u for %.1f s", a, b,
	    (double)(until - w.now) / (double)NS_PER_S);
	w.partitioned_until_ns[a][b] = until;
	w.partitioned_until_ns[b][a] = until;
}

static void
inject(enum fault f)
{
	unsigned bal = (unsigned)rng_below(&w.rng, BALANCERS);
	unsigned agt = BALANCERS + (unsigned)rng_below(&w.rng, AGENTS);
	unsigned any = (unsigned)rng_below(&w.rng, BALANCERS + AGENTS);
	uint64_t pause = rng_below(&w.rng, 12 * NS_PER_S);

	w.faults[f]++;
	switch (f) {
	case FAULT_KILL_BALANCER:
		if (can_lose(bal, 2))
			kill_and_restart(bal, pause);
		break;
	case FAULT_KILL_AGENT:
		if (can_lose(agt, 2))
			kill_and_restart(agt, pause / 4);
		break;
	case FAULT_KILL_INSTANCE:
		if (!can_lose(agt, 2))
			break;
		target_restart(agt);
		kill_and_restart(agt, pause);
		break;
	case FAULT_FREEZE:
		if (!can_lose(any, 2))
			break;
		trace_event("process %u freezes for %.1f s", any,
		    (double)pause / (double)NS_PER_S);
		w.procs[any].frozen_until_ns = w.now + pause;
		w.procs[any].disturbed_ns = w.now + pause;
		break;
	case FAULT_STOP_BALANCER:
		if (can_lose(bal, 2))
			begin_planned_stop(bal);
		break;
	case FAULT_STOP_AGENT:
		if (can_lose(agt, 2))
			begin_planned_stop(agt);
		if (!w.planned_only &&
		    rng_chance(
			&w.rng, is_broken(INV_LEAVING) ? 1000000 : 200000))
			stop_service(agent_service(agt));
		break;
	case FAULT_PARTITION:
		partition_domains();
		break;
	case FAULT_PLATFORM_OUTAGE:
		platform_outage(w.now + 3 * pause);
		break;
	case FAULT_LOST_ANSWER:
		platform_lose_answers(2);
		break;
	case FAULT_SHED:
		targets_shed(w.now + 3 * pause);
		break;
	case FAULT_RACE:
		operator_submit();
		operator_submit();
		break;
	case FAULT_SUBMIT:
		operator_submit();
		break;
	case FAULT_COUNT:
		break;
	}
}

void
fault_inject(void)
{
	static const enum fault planned[] = {
	    FAULT_STOP_BALANCER, FAULT_STOP_AGENT, FAULT_SUBMIT};

	if (is_broken(INV_RETRY_BUDGET))
		targets_shed(w.now + NS_PER_S);
	if (!rng_chance(&w.rng, 400000))
		return;
	if (w.kill_balancers)
		inject(FAULT_KILL_BALANCER);
	else if (w.planned_only)
		inject(planned[rng_below(&w.rng, 3)]);
	else
		inject((enum fault)rng_below(&w.rng, FAULT_COUNT));
}
