#include "settings.h"

#include "codec/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/** Settings of the bounds; all of them are valid, and none is looser than what
 * the checks allow. */
static const char *const flow_lives[] = {"", "\"flow_life_s\": 60,",
    "\"flow_life_s\": 59.5,", "\"flow_life_s\": true,",
    "\"flow_life_s\": false,"};
static const char *const evacuations[] = {"\"evacuation_ms\": 5000,",
    "\"evacuation_ms\": 4999.5,", "\"evacuation_ms\": true,"};
static const char *const overages[] = {"\"cold_overage\": 1.5,",
    "\"cold_overage\": 1,", "\"cold_overage\": true,"};
static const char *const slacks[] = {
    "\"cold_slack\": 2,", "\"cold_slack\": 1.5,", "\"cold_slack\": true,"};

#define CHOOSE(list) \
	(list)[rng_below(&sim.rng, sizeof(list) / sizeof((list)[0]))]

/* Breaks INV_SETTINGS: a bound is no number. */
static void
write_file(FILE *f)
{
	fprintf(f, "{%s %s %s %s", CHOOSE(flow_lives), CHOOSE(evacuations),
	    CHOOSE(overages), CHOOSE(slacks));
	if (sim.options.broken_invariant == INV_SETTINGS)
		fprintf(f, "\"word_period_ms\": \"1200\",");
	fprintf(f, "\"name\": \"side-1\", \"address\": \"127.0.0.1:7700\", "
		   "\"domain\": \"d\", \"balancers\": [], "
		   "\"platform\": \"http://127.0.0.1:8480\", "
		   "\"packets\": \"127.0.0.1:8172\", "
		   "\"readiness\": \"127.0.0.1:8167\", "
		   "\"service\": \"desk\", \"target\": \"127.0.0.1:8080\", "
		   "\"target_packets\": \"127.0.0.1:8162\", "
		   "\"target_words\": \"127.0.0.1:8166\"}");
}

/* Some processes are told; the others read the file when they start. */
static void
reload_some(void)
{
	for (unsigned i = 0; i < sim.node_count; i++) {
		struct node *n = &sim.nodes[i];

		if (n->alive && n->is_agent && rng_chance(&sim.rng, 300000))
			n->fa.setup.flow_life_ms = sim.settings.flow_life_ms;
	}
}

void
settings_change(void)
{
	char path[] = "/tmp/flow-run-XXXXXX";
	int fd = mkstemp(path);
	FILE *f = fd < 0 ? NULL : fdopen(fd, "w");
	struct status st;

	if (f == NULL) {
		perror("flow-run");
		exit(2);
	}
	write_file(f);
	fclose(f);
	st = settings_load(&sim.settings, path, SETTINGS_FLOW_AGENT);
	unlink(path);
	check_invariant(INV_SETTINGS, st.code == STATUS_OK,
	    "no process starts with its settings: %s", st.message);
	reload_some();
}
