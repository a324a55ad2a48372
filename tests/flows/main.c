/**
 * @file main.c
 * The decisions about opaque flows on a virtual clock, at any size.
 *
 * usage: flow-run SEED SECONDS BALANCERS AGENTS [faults|restart|slopes]
 *	[break N]
 *
 * "faults": kills, freezes, cuts, lost packets, outages of the store, targets
 * that crash and leave, for SECONDS; then everybody must be served again.
 * "restart": all processes are killed once, and it is measured how long it
 * takes until callers are served. "slopes": processor time is measured, which
 * is no part of any verdict. "break N" breaks the mechanism behind invariant
 * N: its check must find that. Exit 0 only without a violation.
 */
#include "run.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** All have found each other by then, s. */
#define SETTLE_S 8
/** Faults come this often, ms. */
#define FAULT_MS 300
/** After the last fault all is well within this, s: the users' bound for a
 * recovery is 15 s. */
#define RECOVER_S 12
/** Served at least, of a million asked, when all is well. */
#define SERVED_PPM 990000
/** Down for this when all are killed, ms. */
#define DOWN_MS 1000
/** Served again: half of what is asked within a step of this, ms. */
#define STEP_MS 250
/** A process sends at most this for control, bytes a second: the brief's. */
#define CONTROL_MOST 13000

static const char *const kind_names[KINDS] = {"", "agent", "balancer", "lists",
    "find", "found", "accepted", "refused", "away"};

static void
usage(void)
{
	fprintf(stderr, "usage: flow-run SEED SECONDS BALANCERS AGENTS "
			"[faults|restart|slopes] [break N]\n");
	exit(2);
}

static uint64_t
sent_most(bool agents, bool far, uint64_t over_ns)
{
	uint64_t most = 0;

	for (unsigned i = 0; i < r.count; i++) {
		const struct node *n = &r.nodes[i];
		uint64_t sent = far ? n->sent_far : n->sent;

		if (n->is_agent == agents && sent > most)
			most = sent;
	}
	return most * NS_PER_S / over_ns;
}

static void
forget_bytes(void)
{
	memset(r.bytes, 0, sizeof(r.bytes));
	memset(r.far, 0, sizeof(r.far));
	memset(r.cpu_ns, 0, sizeof(r.cpu_ns));
	r.packets = 0;
	for (unsigned i = 0; i < r.count; i++) {
		r.nodes[i].sent = 0;
		r.nodes[i].sent_far = 0;
		r.nodes[i].got = 0;
	}
}

static void
print_bytes(bool agents, uint64_t over_ns)
{
	unsigned of = agents ? r.set.agents : r.set.balancers;
	uint64_t got = 0;

	for (unsigned i = 0; i < r.count; i++)
		got += r.nodes[i].is_agent == agents ? r.nodes[i].got : 0;
	printf("%s: bytes/s sent", agents ? "agent" : "balancer");
	for (int k = 1; k < KINDS; k++)
		printf(" %s %llu", kind_names[k],
		    (unsigned long long)(r.bytes[agents][k] * NS_PER_S /
					 over_ns / of));
	printf("; far %llu, highest %llu, received %llu\n",
	    (unsigned long long)(r.far[agents] * NS_PER_S / over_ns / of),
	    (unsigned long long)sent_most(agents, false, over_ns),
	    (unsigned long long)(got * NS_PER_S / over_ns / of));
}

static void
print_cpu(uint64_t over_ns)
{
	for (int role = 0; role < 2; role++)
		printf("%s: processor %.4f %% of a core\n",
		    role == 1 ? "agent" : "balancer",
		    100.0 * (double)r.cpu_ns[role] / (double)over_ns /
			(role == 1 ? r.set.agents : r.set.balancers));
	printf("packets: %llu, %.3f microseconds of all processor time each\n",
	    (unsigned long long)r.packets,
	    (double)(r.cpu_ns[0] + r.cpu_ns[1]) / 1000.0 /
		(double)(r.packets + 1));
}

/* A calm time: what it costs, and whether everybody is served. */
static void
calm_time(uint64_t seconds)
{
	uint64_t over_ns = seconds * NS_PER_S;
	unsigned ppm;

	forget_bytes();
	served_ppm();
	if (r.set.broken == INV_SERVED)
		fault_kill_all(60 * NS_PER_S);
	run_until(r.now + over_ns);
	ppm = served_ppm();
	check(INV_SERVED, ppm >= SERVED_PPM, "served %u of a million", ppm);
	for (int role = 0; role < 2; role++)
		check(INV_BOUNDED,
		    sent_most(role == 1, false, over_ns) <= CONTROL_MOST,
		    "a %s sends %llu bytes a second",
		    role == 1 ? "agent" : "balancer",
		    (unsigned long long)sent_most(role == 1, false, over_ns));
	print_bytes(false, over_ns);
	print_bytes(true, over_ns);
	if (r.set.slopes)
		print_cpu(over_ns);
}

static void
faults(uint64_t seconds)
{
	uint64_t end = r.now + seconds * NS_PER_S;

	while (r.now < end) {
		fault_strike();
		run_until(r.now + FAULT_MS * NS_PER_MS);
	}
	r.loss_ppm = 0;
	run_until(r.now + RECOVER_S * NS_PER_S);
}

/* From the moment when they run again. */
static void
restart(void)
{
	uint64_t up;

	fault_kill_all(DOWN_MS * NS_PER_MS);
	run_until(r.now + DOWN_MS * NS_PER_MS);
	up = r.now;
	served_ppm();
	do {
		run_until(r.now + STEP_MS * NS_PER_MS);
	} while (served_ppm() < 500000 && r.now < up + 30 * NS_PER_S);
	printf("restart: served again after %.2f s\n",
	    (double)(r.now - up) / NS_PER_S);
	check(INV_SERVED, r.now < up + RECOVER_S * NS_PER_S,
	    "not served after a restart of all");
	run_until(r.now + RECOVER_S * NS_PER_S);
}

static unsigned long
number(const char *text)
{
	char *end;
	unsigned long v = strtoul(text, &end, 10);

	if (*text == '\0' || *end != '\0')
		usage();
	return v;
}

static void
print_end(void)
{
	uint64_t checks = 0;

	ends_print();
	printf("checks:");
	for (int i = 1; i < INV_COUNT; i++) {
		printf(" %llu", (unsigned long long)r.checks[i]);
		checks += r.checks[i];
	}
	printf("\nflow-run: seed %llu balancers %u agents %u faults %llu "
	       "checks %llu violations %llu\n",
	    (unsigned long long)r.set.seed, r.set.balancers, r.set.agents,
	    (unsigned long long)r.faults, (unsigned long long)checks,
	    (unsigned long long)r.violations);
}

int
main(int argc, char **argv)
{
	uint64_t seconds;
	bool restarts = false;

	if (argc < 5 || sodium_init() < 0)
		usage();
	r.set = (struct run_setup){.seed = number(argv[1]),
	    .balancers = (unsigned)number(argv[3]),
	    .agents = (unsigned)number(argv[4]),
	    .domains = 4,
	    .per_service = 8};
	seconds = number(argv[2]);
	if (r.set.balancers == 0 || r.set.agents == 0 || seconds == 0)
		usage();
	r.set.callers = r.set.agents * 4;
	for (int i = 5; i < argc; i++) {
		r.set.faults |= strcmp(argv[i], "faults") == 0;
		r.set.slopes |= strcmp(argv[i], "slopes") == 0;
		restarts |= strcmp(argv[i], "restart") == 0;
		if (strcmp(argv[i], "break") == 0 && i + 1 < argc)
			r.set.broken = (enum invariant)number(argv[++i]);
	}
	rng_init(&r.rng, r.set.seed);
	nodes_begin();
	ends_begin();
	run_until(SETTLE_S * NS_PER_S);
	if (r.set.faults)
		faults(seconds);
	if (restarts)
		restart();
	calm_time(r.set.faults || restarts ? 10 : seconds);
	print_end();
	ends_end();
	nodes_end();
	return r.violations == 0 ? 0 : 1;
}
