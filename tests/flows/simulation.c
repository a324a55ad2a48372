#include "simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** One-way delay inside a failure domain and between two failure domains, as at
 * the users' sites. */
#define LOCAL_DELAY_NS 100000
#define REMOTE_DELAY_NS (4 * NS_PER_MS)
#define JITTER_MAX_PPM 300000
/** Number of violations that are printed; the others are counted alone. */
#define VIOLATIONS_PRINTED_MAX 20

struct simulation sim;

struct sim_event {
	enum event_kind kind;
	unsigned who;
	unsigned generation;
	uint64_t value;
	size_t len;
	uint8_t bytes[];
};

void
check_invariant(enum invariant inv, bool holds, const char *fmt, ...)
{
	va_list ap;

	sim.checks[inv]++;
	if (holds)
		return;
	if (sim.violations++ >= VIOLATIONS_PRINTED_MAX)
		return;
	printf("violation of invariant %d, seed %llu, at %.3f s: ", (int)inv,
	    (unsigned long long)sim.options.seed, (double)sim.now / NS_PER_S);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

void
schedule_event(uint64_t delay_ns, enum event_kind kind, unsigned who,
    unsigned generation, uint64_t value, const void *bytes, size_t len)
{
	struct sim_event *ev = mem_new(sizeof(*ev) + len);

	ev->kind = kind;
	ev->who = who;
	ev->generation = generation;
	ev->value = value;
	ev->len = len;
	if (len > 0)
		memcpy(ev->bytes, bytes, len);
	evq_push(&sim.queue, sim.now + delay_ns, ev);
}

void
send_over_link(unsigned from, unsigned to, enum event_kind kind, unsigned who,
    uint64_t value, const void *bytes, size_t len)
{
	uint64_t delay_ns = from == to ? LOCAL_DELAY_NS : REMOTE_DELAY_NS;

	if (sim.now < sim.cut_until_ns[from][to] ||
	    rng_chance(&sim.rng, sim.loss_ppm))
		return;
	delay_ns += rng_below(&sim.rng, delay_ns * JITTER_MAX_PPM / 1000000);
	schedule_event(delay_ns, kind, who, 0, value, bytes, len);
}

bool
node_is_stable(const struct node *n, uint64_t ms)
{
	return n->alive && n->frozen_until_ns == 0 &&
	       (n->disturbed_until_ns == 0 ||
		   sim.now > n->disturbed_until_ns + ms * NS_PER_MS) &&
	       sim.now > n->started_ns + ms * NS_PER_MS;
}

bool
node_is_undisturbed(const struct node *n, uint64_t ms)
{
	if (!n->planned)
		return node_is_stable(n, ms);
	return n->alive && n->frozen_until_ns == 0 &&
	       (n->disturbed_until_ns == 0 ||
		   sim.now > n->disturbed_until_ns + ms * NS_PER_MS);
}

static uint64_t
wall_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

/* Events for a frozen process are delayed until it continues. */
static void
dispatch_to_node(struct sim_event *ev)
{
	struct node *n = &sim.nodes[ev->who];
	uint64_t started_ns;

	if (!n->alive ||
	    (ev->generation != 0 && ev->generation != n->generation))
		return;
	if (sim.now < n->frozen_until_ns) {
		schedule_event(n->frozen_until_ns - sim.now, ev->kind, ev->who,
		    n->generation, ev->value, ev->bytes, ev->len);
		return;
	}
	started_ns = sim.options.measure_cpu ? wall_ns() : 0;
	node_handle_event(ev->kind, ev->who, ev->value, ev->bytes, ev->len);
	if (sim.options.measure_cpu)
		sim.cpu_ns[n->is_agent] += wall_ns() - started_ns;
}

static void
dispatch_event(struct sim_event *ev)
{
	const struct packet *p = (const struct packet *)ev->bytes;

	switch (ev->kind) {
	case EV_TICK:
	case EV_MESSAGE:
	case EV_TO_BALANCER:
	case EV_TO_AGENT:
	case EV_FROM_TARGET:
	case EV_TARGET_CHECKED:
	case EV_STORE_REPLY:
	case EV_EVACUATIONS:
	case EV_PEER_REPLY:
	case EV_ENTRY:
	case EV_ENTRIES:
	case EV_RECORD_READ:
	case EV_RECORD_WRITTEN:
	case EV_RELEASE:
		dispatch_to_node(ev);
		return;
	case EV_TO_TARGET:
		target_handle_packet(ev->who, p);
		return;
	case EV_REQUEST_DONE:
		target_finish_request(ev->who, ev->generation, ev->value,
		    (const struct flow_key *)ev->bytes);
		return;
	case EV_TARGET_HEARTBEAT:
		target_send_heartbeat(ev->who, (unsigned)ev->value);
		return;
	case EV_TO_CALLER:
		caller_handle_packet(ev->who, p);
		return;
	case EV_CALLER_TIMER:
		caller_handle_timer(ev->who, ev->value);
		return;
	case EV_ROUTER_CHECK:
		routers_check();
		return;
	case EV_RECOVERY:
		fault_recover(ev->who, ev->value);
		return;
	case EV_CONFIG_CHANGE:
		config_publish();
		return;
	}
}

void
run_until(uint64_t end_ns)
{
	struct sim_event *ev;
	uint64_t at_ns;

	while (sim.queue.count > 0 && sim.queue.slots[0].at <= end_ns) {
		ev = evq_pop(&sim.queue, &at_ns);
		sim.now = at_ns;
		dispatch_event(ev);
		free(ev);
	}
	sim.now = end_ns;
}
