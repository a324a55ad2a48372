#include "run.h"

/** What an EV_FAULT brings. */
enum again {
	AGAIN_NODE,   /**< a process starts again */
	AGAIN_TARGET, /**< a target starts again */
	AGAIN_END,    /**< a target that has drained ends */
};

/** A target that leaves serves on for this, ms. */
#define DRAIN_MS 3000

static uint64_t
some_ms(unsigned least, unsigned more)
{
	return (least + rng_below(&r.rng, more)) * NS_PER_MS;
}

static unsigned
some_balancer(void)
{
	return (unsigned)rng_below(&r.rng, r.set.balancers);
}

static unsigned
some_agent(void)
{
	return r.set.balancers + (unsigned)rng_below(&r.rng, r.set.agents);
}

static void
freeze(unsigned who, uint64_t ns)
{
	struct node *n = &r.nodes[who];

	if (!n->alive || n->frozen_until != 0)
		return;
	n->frozen_until = r.now + ns;
	n->held_ns = r.now + ns;
}

static void
cut(unsigned a, unsigned b, uint64_t ns)
{
	if (a == b)
		return;
	r.cut_until[a][b] = r.now + ns;
	r.cut_until[b][a] = r.now + ns;
	for (unsigned i = 0; i < r.count; i++) {
		struct node *n = &r.nodes[i];

		if (n->domain == a || n->domain == b)
			n->held_ns = r.now + ns;
	}
}

static void
crash(unsigned agent)
{
	target_crash(agent);
	post(some_ms(500, 4000), EV_FAULT, agent, 0, AGAIN_TARGET, NULL, 0);
}

static void
leave(unsigned agent)
{
	target_leave(agent);
	post(DRAIN_MS * NS_PER_MS, EV_FAULT, agent, 0, AGAIN_END, NULL, 0);
}

static void
kill_share(unsigned percent, uint64_t down_ns)
{
	for (unsigned i = 0; i < r.count; i++) {
		if (rng_below(&r.rng, 100) < percent)
			node_kill(i, down_ns);
	}
}

void
fault_kill_all(uint64_t down_ns)
{
	kill_share(100, down_ns);
	r.last_fault_ns = r.now + down_ns;
}

void
fault_strike(void)
{
	uint64_t ns = some_ms(500, 3500);

	r.faults++;
	r.loss_ppm = rng_chance(&r.rng, 200000) ? 20000 : 500;
	switch (rng_below(&r.rng, 11)) {
	case 0:
	case 1:
		node_kill(some_balancer(), ns / 2);
		break;
	case 2:
	case 3:
		node_kill(some_agent(), ns / 2);
		break;
	case 4:
		freeze(some_balancer(), ns);
		break;
	case 5:
		freeze(some_agent(), ns);
		break;
	case 6:
		cut((unsigned)rng_below(&r.rng, r.set.domains),
		    (unsigned)rng_below(&r.rng, r.set.domains), ns);
		break;
	case 7:
		r.store_down_until = r.now + ns;
		break;
	case 8:
		crash(some_agent());
		break;
	case 9:
		leave(some_agent());
		break;
	case 10:
		if (rng_chance(&r.rng, 100000))
			kill_share(rng_chance(&r.rng, 500000) ? 100 : 60,
			    some_ms(300, 1500));
		else
			config_change();
		break;
	}
	r.last_fault_ns = r.now + ns;
}

void
fault_over(unsigned who, uint64_t what)
{
	switch ((enum again)what) {
	case AGAIN_NODE:
		if (!r.nodes[who].alive)
			node_start(who);
		break;
	case AGAIN_TARGET:
		if (!target_alive(who))
			target_start(who);
		break;
	case AGAIN_END:
		target_end(who);
		post(some_ms(300, 2000), EV_FAULT, who, 0, AGAIN_TARGET, NULL,
		    0);
		break;
	}
}
