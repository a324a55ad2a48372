#include "run.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** One way inside a failure domain and between two, as on the users' sites. */
#define NEAR_NS 100000
#define FAR_NS (4 * NS_PER_MS)
#define JITTER_PPM 300000
/** Violations that are printed. */
#define PRINT_MAX 20

struct run r;

struct item {
	enum happening what;
	unsigned who;
	unsigned generation;
	uint64_t value;
	size_t len;
	uint8_t bytes[];
};

void
check(enum invariant inv, bool holds, const char *fmt, ...)
{
	va_list ap;

	r.checks[inv]++;
	if (holds)
		return;
	if (r.violations++ >= PRINT_MAX)
		return;
	printf("violation of invariant %d, seed %llu, at %.3f s: ", (int)inv,
	    (unsigned long long)r.set.seed, (double)r.now / NS_PER_S);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

void
post(uint64_t delay_ns, enum happening what, unsigned who, unsigned generation,
    uint64_t value, const void *bytes, size_t len)
{
	struct item *i = mem_new(sizeof(*i) + len);

	i->what = what;
	i->who = who;
	i->generation = generation;
	i->value = value;
	i->len = len;
	if (len > 0)
		memcpy(i->bytes, bytes, len);
	evq_push(&r.queue, r.now + delay_ns, i);
}

void
send_link(unsigned from, unsigned to, enum happening what, unsigned who,
    uint64_t value, const void *bytes, size_t len)
{
	uint64_t delay = from == to ? NEAR_NS : FAR_NS;

	if (r.now < r.cut_until[from][to] || rng_chance(&r.rng, r.loss_ppm))
		return;
	delay += rng_below(&r.rng, delay * JITTER_PPM / 1000000);
	post(delay, what, who, 0, value, bytes, len);
}

bool
calm(const struct node *n, uint64_t ms)
{
	return n->alive && n->frozen_until == 0 &&
	       (n->held_ns == 0 || r.now > n->held_ns + ms * NS_PER_MS) &&
	       r.now > n->began_ns + ms * NS_PER_MS;
}

static uint64_t
wall_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

/* An event of a process that stands still waits until it goes on. */
static void
give_node(struct item *i)
{
	struct node *n = &r.nodes[i->who];
	uint64_t began;

	if (!n->alive || (i->generation != 0 && i->generation != n->generation))
		return;
	if (r.now < n->frozen_until) {
		post(n->frozen_until - r.now, i->what, i->who, n->generation,
		    i->value, i->bytes, i->len);
		return;
	}
	began = r.set.slopes ? wall_ns() : 0;
	node_event(i->what, i->who, i->value, i->bytes, i->len);
	if (r.set.slopes)
		r.cpu_ns[n->is_agent] += wall_ns() - began;
}

static void
happen(struct item *i)
{
	const struct packet *p = (const struct packet *)i->bytes;

	switch (i->what) {
	case EV_TICK:
	case EV_MESSAGE:
	case EV_PACKET:
	case EV_FORWARD:
	case EV_BACK:
	case EV_TRIED:
	case EV_STORE:
	case EV_FETCHED:
		give_node(i);
		return;
	case EV_TARGET:
		target_packet(i->who, p);
		return;
	case EV_DONE:
		target_done(i->who, i->generation, i->value,
		    (const struct flow_key *)i->bytes);
		return;
	case EV_WORD:
		target_speak(i->who, (unsigned)i->value);
		return;
	case EV_CALLER:
		caller_packet(i->who, p);
		return;
	case EV_TIMER:
		caller_timer(i->who, i->value);
		return;
	case EV_ROUTERS:
		routers_look();
		return;
	case EV_FAULT:
		fault_over(i->who, i->value);
		return;
	case EV_CHANGE:
		config_change();
		return;
	}
}

void
run_until(uint64_t end_ns)
{
	struct item *i;
	uint64_t at;

	while (r.queue.count > 0 && r.queue.slots[0].at <= end_ns) {
		i = evq_pop(&r.queue, &at);
		r.now = at;
		happen(i);
		free(i);
	}
	r.now = end_ns;
}
