#include "planned.h"

/** Time in which flows are opened before the work, in s. */
#define OPEN_S 30
/** Time between two replacements, in s: all agents know the balancers then. */
#define INTERVAL_S 20
/** Mode "replace": every so many agents restart before a replacement, and the
 * time of that, in s: they do not know all flows of their targets during the
 * replacement. */
#define REPLACE_AGENTS_STEP 3
#define REPLACE_AGENTS_S 6
#define AGENT_DOWN_MS 500

void
planned_replace(uint64_t seconds)
{
	uint64_t end = sim.now + seconds * NS_PER_S;

	run_until(sim.now + OPEN_S * NS_PER_S);
	for (unsigned i = 0; sim.now < end; i++) {
		for (unsigned a = i % REPLACE_AGENTS_STEP;
		     a < sim.options.agents; a += REPLACE_AGENTS_STEP)
			node_kill(sim.options.balancers + a,
			    AGENT_DOWN_MS * NS_PER_MS);
		run_until(sim.now + REPLACE_AGENTS_S * NS_PER_S);
		fault_replace_balancers(
		    i % 2 == 0
			? sim.options.domains
			: (unsigned)rng_below(&sim.rng, sim.options.domains));
		run_until(sim.now + INTERVAL_S * NS_PER_S);
	}
}

/** Time within which all balancers or agents that restart together are stopped,
 * and between two agents that restart in turn, in ms. */
#define TOGETHER_MS 1000
#define TURN_MS 1300
/** Of the agents, one in so many restarts, and one in so many of these restarts
 * again after as many turns. */
#define AGENTS_STEP 2
#define AGENTS_TWICE_STEP 2
/** Time after which all balancers restart once more, in ms. */
#define AGAIN_MS 2500
/** Mode "faults": interval between two faults, in ms. */
#define FAULT_INTERVAL_MS 1000

/** Work of one round. */
enum round_kind {
	ROUND_RESTART,	     /**< all balancers restart */
	ROUND_RESTART_AGENT, /**< all balancers and some agents restart */
	ROUND_RESTART_TWICE, /**< all balancers restart twice */
	ROUND_REPLACE,	     /**< all balancers are replaced, and agents restart
				in turn */
	ROUND_KINDS
};

static void
restart_balancers(void)
{
	for (unsigned i = 0; i < sim.options.balancers; i++)
		fault_restart_balancer(
		    i, rng_below(&sim.rng, TOGETHER_MS) * NS_PER_MS);
}

static void
restart_agents(uint64_t begin_ms, uint64_t turn_ms)
{
	uint64_t count = 0;

	for (unsigned a = (unsigned)rng_below(&sim.rng, AGENTS_STEP);
	     a < sim.options.agents; a += AGENTS_STEP, count++) {
		uint64_t at_ms =
		    begin_ms + (turn_ms > 0 ? count * turn_ms
					    : rng_below(&sim.rng, TOGETHER_MS));

		fault_restart_agent(
		    sim.options.balancers + a, at_ms * NS_PER_MS);
		if (turn_ms > 0 && count % AGENTS_TWICE_STEP == 0)
			fault_restart_agent(sim.options.balancers + a,
			    (at_ms + AGENTS_TWICE_STEP * turn_ms) * NS_PER_MS);
	}
}

static void
begin_round(enum round_kind kind)
{
	switch (kind) {
	case ROUND_RESTART_AGENT:
		restart_agents(TOGETHER_MS, 0);
		restart_balancers();
		break;
	case ROUND_RESTART_TWICE:
		restart_balancers();
		run_until(sim.now + AGAIN_MS * NS_PER_MS);
		restart_balancers();
		break;
	case ROUND_REPLACE:
		restart_agents(0, TURN_MS);
		fault_replace_balancers(sim.options.domains);
		break;
	default:
		restart_balancers();
		break;
	}
}

static void
run_interval(uint64_t end)
{
	while (sim.options.faults && sim.now < end) {
		fault_inject_random();
		run_until(sim.now + FAULT_INTERVAL_MS * NS_PER_MS);
	}
	run_until(end);
}

void
planned_rolling(uint64_t seconds)
{
	uint64_t end = sim.now + seconds * NS_PER_S;

	run_until(sim.now + OPEN_S * NS_PER_S);
	for (unsigned i = 0; sim.now < end; i++) {
		begin_round((enum round_kind)(i % ROUND_KINDS));
		run_interval(sim.now + INTERVAL_S * NS_PER_S);
	}
	sim.loss_ppm = 0;
	run_until(sim.now + INTERVAL_S * NS_PER_S);
}
