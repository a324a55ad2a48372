#include "settings.h"

/** Actions of an EV_RECOVERY event. */
enum recovery {
	RECOVERY_START_NODE,   /**< restart a process */
	RECOVERY_START_TARGET, /**< restart a target */
	RECOVERY_STOP_TARGET,  /**< stop a target whose drain time is over */
	RECOVERY_REPLACE,      /**< stop a balancer, and start another one */
	RECOVERY_LEAVE,	       /**< a balancer leaves, and restarts */
	RECOVERY_RESTART,      /**< stop a process, and start it again */
};

/** Time within which all processes start when the power is back, in ms. */
#define POWER_START_MS 400
/** Shortest time for which a process is down in a planned restart, in ms; the
 * longest is twice as long. */
#define RESTART_DOWN_MS 300
/** Time for which a leaving balancer goes on forwarding, in ms. */
#define LEAVE_MS 1200
/** Time for which a leaving target continues to serve, in ms. */
#define DRAIN_MS 3000

static uint64_t
random_ns(unsigned min_ms, unsigned range_ms)
{
	return (min_ms + rng_below(&sim.rng, range_ms)) * NS_PER_MS;
}

static unsigned
random_balancer(void)
{
	return (unsigned)rng_below(&sim.rng, sim.options.balancers);
}

static unsigned
random_agent(void)
{
	return sim.options.balancers +
	       (unsigned)rng_below(&sim.rng, sim.options.agents);
}

static void
freeze_node(unsigned who, uint64_t ns)
{
	struct node *n = &sim.nodes[who];

	if (!n->alive || n->frozen_until_ns != 0)
		return;
	n->frozen_until_ns = sim.now + ns;
	n->disturbed_until_ns = sim.now + ns;
}

static void
cut_link(unsigned a, unsigned b, uint64_t ns)
{
	if (a == b)
		return;
	sim.cut_until_ns[a][b] = sim.now + ns;
	sim.cut_until_ns[b][a] = sim.now + ns;
	for (unsigned i = 0; i < sim.node_count; i++) {
		struct node *n = &sim.nodes[i];

		if (n->domain == a || n->domain == b)
			n->disturbed_until_ns = sim.now + ns;
	}
}

static void
crash_target(unsigned agent)
{
	target_crash(agent);
	schedule_event(random_ns(500, 4000), EV_RECOVERY, agent, 0,
	    RECOVERY_START_TARGET, NULL, 0);
}

static void
drain_target(unsigned agent)
{
	target_leave(agent);
	schedule_event(DRAIN_MS * NS_PER_MS, EV_RECOVERY, agent, 0,
	    RECOVERY_STOP_TARGET, NULL, 0);
}

static void
kill_random_nodes(unsigned percent, uint64_t down_ns)
{
	for (unsigned i = 0; i < sim.node_count; i++) {
		if (rng_below(&sim.rng, 100) < percent)
			node_kill(i, down_ns);
	}
}

/* The balancers leave together, and the others start as they end. */
void
fault_replace_balancers(unsigned domain)
{
	for (unsigned i = 0; i < sim.options.balancers; i++) {
		struct node *n = &sim.nodes[i];

		if (!n->alive ||
		    (domain != sim.options.domains && n->domain != domain))
			continue;
		fb_leave(&n->fb, sim.now);
		schedule_event(LEAVE_MS * NS_PER_MS, EV_RECOVERY, i, 0,
		    RECOVERY_REPLACE, NULL, 0);
	}
}

void
fault_restart_balancer(unsigned who, uint64_t delay_ns)
{
	schedule_event(delay_ns, EV_RECOVERY, who, 0, RECOVERY_LEAVE, NULL, 0);
}

void
fault_restart_agent(unsigned who, uint64_t delay_ns)
{
	schedule_event(
	    delay_ns, EV_RECOVERY, who, 0, RECOVERY_RESTART, NULL, 0);
}

static void
leave_and_restart(unsigned who)
{
	struct node *n = &sim.nodes[who];

	if (!n->alive)
		return;
	fb_leave(&n->fb, sim.now);
	schedule_event(LEAVE_MS * NS_PER_MS, EV_RECOVERY, who, 0,
	    RECOVERY_RESTART, NULL, 0);
}

void
fault_kill_all(uint64_t down_ns)
{
	kill_random_nodes(100, down_ns);
	sim.last_fault_ns = sim.now + down_ns;
}

void
fault_kill_balancers(uint64_t down_ns, uint64_t away_ns)
{
	sim.store_down_until_ns = sim.now + away_ns;
	sim.last_fault_ns = sim.now + away_ns;
	for (unsigned i = 0; i < sim.options.balancers; i++)
		node_kill(i, down_ns);
}

void
fault_power_loss(uint64_t down_ns)
{
	callers_note_recorded();
	sim.power_lost_ns = sim.now;
	sim.power_back_ns = sim.now + down_ns + POWER_START_MS * NS_PER_MS;
	sim.last_fault_ns = sim.power_back_ns;
	for (unsigned i = 0; i < sim.node_count; i++) {
		node_kill(i, down_ns + random_ns(0, POWER_START_MS));
		if (!sim.nodes[i].is_agent)
			continue;
		target_crash(i);
		schedule_event(
		    down_ns, EV_RECOVERY, i, 0, RECOVERY_START_TARGET, NULL, 0);
	}
}

void
fault_inject_random(void)
{
	uint64_t ns = random_ns(500, 3500);

	sim.fault_count++;
	sim.loss_ppm = rng_chance(&sim.rng, 200000) ? 20000 : 500;
	switch (rng_below(&sim.rng, 15)) {
	case 0:
	case 1:
		node_kill(random_balancer(), ns / 2);
		break;
	case 2:
	case 3:
		node_kill(random_agent(), ns / 2);
		break;
	case 4:
		freeze_node(random_balancer(), ns);
		break;
	case 5:
		freeze_node(random_agent(), ns);
		break;
	case 6:
		cut_link((unsigned)rng_below(&sim.rng, sim.options.domains),
		    (unsigned)rng_below(&sim.rng, sim.options.domains), ns);
		break;
	case 7:
		sim.store_down_until_ns = sim.now + ns;
		break;
	case 8:
		crash_target(random_agent());
		break;
	case 9:
		drain_target(random_agent());
		break;
	case 11:
		if (rng_chance(&sim.rng, 200000))
			fault_kill_balancers(ns / 4, 2 * ns);
		break;
	case 12:
		evacuation_toggle(
		    (unsigned)rng_below(&sim.rng, sim.options.domains));
		break;
	case 13:
		/* More often, no new flow would be opened. */
		if (rng_chance(&sim.rng, 200000))
			fault_replace_balancers((unsigned)rng_below(
			    &sim.rng, sim.options.domains + 1));
		break;
	case 14:
		settings_change();
		break;
	case 10:
		if (rng_chance(&sim.rng, 50000))
			fault_power_loss(ns / 2);
		else if (rng_chance(&sim.rng, 100000))
			kill_random_nodes(
			    rng_chance(&sim.rng, 500000) ? 100 : 60,
			    random_ns(300, 1500));
		else
			config_publish();
		break;
	}
	sim.last_fault_ns = sim.now + ns;
}

void
fault_recover(unsigned who, uint64_t action)
{
	switch ((enum recovery)action) {
	case RECOVERY_START_NODE:
		if (!sim.nodes[who].alive)
			node_start(who);
		break;
	case RECOVERY_START_TARGET:
		if (!target_is_alive(who))
			target_start(who);
		break;
	case RECOVERY_REPLACE:
		node_replace(who, random_ns(0, 400));
		break;
	case RECOVERY_LEAVE:
		leave_and_restart(who);
		break;
	case RECOVERY_RESTART:
		node_restart(who, random_ns(RESTART_DOWN_MS, RESTART_DOWN_MS));
		break;
	case RECOVERY_STOP_TARGET:
		target_stop(who);
		schedule_event(random_ns(300, 2000), EV_RECOVERY, who, 0,
		    RECOVERY_START_TARGET, NULL, 0);
		break;
	}
}
