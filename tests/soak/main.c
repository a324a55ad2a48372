/**
 * @file main.c
 * usage: soak SEED STEPS [planned] [balance] [kill-balancers] [break N]
 *
 * planned: inject planned changes only, on links without loss.
 * balance: configure the services with "weigh balance".
 * kill-balancers: inject kills of balancers only.
 * break N: disable the mechanism behind invariant N; the run must report a
 * violation.
 */
#include "world.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_NS (70 * NS_PER_S)

static void
print_totals(uint64_t steps)
{
	static const char *const names[] = {"kill-balancer", "kill-agent",
	    "kill-instance", "freeze", "stop-balancer", "stop-agent", "cut",
	    "platform-outage", "lost-answer", "shed", "race", "submit"};
	uint64_t faults = 0;
	uint64_t checks = 0;

	printf("faults:");
	for (int i = 0; i < FAULT_COUNT; i++) {
		printf(" %s %llu", names[i], (unsigned long long)w.faults[i]);
		faults += w.faults[i];
	}
	printf("\nchecks:");
	for (int i = 1; i < INV_COUNT; i++) {
		printf(" %d:%llu", i, (unsigned long long)w.checks[i]);
		checks += w.checks[i];
	}
	printf("\n");
	print_callers();
	printf("soak: seed %llu steps %llu faults %llu checks %llu violations "
	       "%llu\n",
	    (unsigned long long)w.seed, (unsigned long long)steps,
	    (unsigned long long)faults, (unsigned long long)checks,
	    (unsigned long long)w.violations);
}

int
main(int argc, char **argv)
{
	uint64_t steps;

	if (argc < 3 || sodium_init() < 0) {
		fprintf(stderr, "usage: soak SEED STEPS [planned] [balance]\n");
		return 64;
	}
	w.seed = strtoull(argv[1], NULL, 10);
	steps = strtoull(argv[2], NULL, 10);
	for (int i = 3; i < argc; i++) {
		w.planned_only |= strcmp(argv[i], "planned") == 0;
		w.balance |= strcmp(argv[i], "balance") == 0;
		w.kill_balancers |= strcmp(argv[i], "kill-balancers") == 0;
		if (strcmp(argv[i], "break") == 0 && i + 1 < argc)
			w.broken_invariant = (enum invariant)atoi(argv[i + 1]);
	}
	rng_init(&w.rng, w.seed);
	w.keys.count = 1;
	w.now = NS_PER_S;
	w.loss_ppm = w.planned_only ? 0 : 10000;
	w.dup_ppm = w.planned_only ? 0 : 10000;
	for (unsigned i = 0; i < BALANCERS + AGENTS; i++)
		proc_start(i);
	operator_submit();
	run_until(UINT64_MAX, w.now + 6 * NS_PER_S);
	callers_start();
	post(0, EV_FEEDS, 0, 0, 0, NULL, 0);
	post(0, EV_FAULTS, 0, 0, 0, NULL, 0);
	run_until(steps, UINT64_MAX);
	w.is_settling = true;
	w.loss_ppm = 0;
	run_until(UINT64_MAX, w.now + SETTLE_NS);
	callers_end();
	print_totals(steps);
	return w.violations == 0 ? 0 : 1;
}
