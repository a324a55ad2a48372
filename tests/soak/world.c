#include "world.h"
#include "events.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TRACE_LINES 40
#define TRACE_WIDTH 120
#define FAULT_PERIOD_NS (700 * NS_PER_MS)
#define FEED_PERIOD_NS (1000 * NS_PER_MS)

struct world w;

static char trace_lines[TRACE_LINES][TRACE_WIDTH];
static unsigned trace_next;
static struct event_queue queue;

void
trace_event(const char *fmt, ...)
{
	char *line = trace_lines[trace_next++ % TRACE_LINES];
	int n = snprintf(
	    line, TRACE_WIDTH, "%10.3f ", (double)w.now / (double)NS_PER_S);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line + n, (size_t)(TRACE_WIDTH - n), fmt, ap);
	va_end(ap);
}

void
check(enum invariant inv, bool holds, const char *fmt, ...)
{
	va_list ap;

	w.checks[inv]++;
	if (holds)
		return;
	w.violations++;
	if (w.violations > 5)
		return;
	printf("violation of invariant %d, seed %llu, step %llu: ", inv,
	    (unsigned long long)w.seed, (unsigned long long)w.steps);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	for (unsigned i = 0; i < TRACE_LINES; i++) {
		const char *line = trace_lines[(trace_next + i) % TRACE_LINES];

		if (line[0] != '\0')
			printf("  %s\n", line);
	}
}

void
post(uint64_t delay_ns, enum event_kind kind, unsigned who, uint64_t value,
    uint64_t value2, const void *bytes, size_t len)
{
	struct event *e = mem_new(sizeof(*e) + len);

	e->at = w.now + delay_ns;
	e->order = queue.next_order;
	e->kind = kind;
	e->who = who;
	e->value = value;
	e->value2 = value2;
	e->len = len;
	if (who < BALANCERS + AGENTS)
		e->generation = w.procs[who].generation;
	if (len > 0)
		memcpy(e->bytes, bytes, len);
	evq_push(&queue, e->at, e);
}

bool
are_linked(unsigned a, unsigned b)
{
	return w.partitioned_until_ns[a][b] <= w.now;
}

void
send_link(unsigned from, unsigned to, enum event_kind kind, unsigned who,
    uint64_t value, uint64_t value2, const void *bytes, size_t len)
{
	uint64_t base = from == to ? NS_PER_MS / 2 : 3 * NS_PER_MS;
	unsigned copies = rng_chance(&w.rng, w.dup_ppm) ? 2 : 1;

	if (!are_linked(from, to) || rng_chance(&w.rng, w.loss_ppm))
		return;
	for (unsigned i = 0; i < copies; i++)
		post(base + rng_below(&w.rng, 4 * NS_PER_MS), kind, who, value,
		    value2, bytes, len);
}

struct str
services_config_text(unsigned serial)
{
	static char text[512];
	int n = snprintf(text, sizeof(text),
	    "# %u\nservice desk\naddress 127.0.0.1:5701\ndepends store\n"
	    "weigh %s\nslots 4\nqueue 16\ndeadline 8s\nleave %us\nretries %u\n"
	    "service store\naddress 127.0.0.1:5702\nweigh %s\nslots 4\n"
	    "deadline 8s\n",
	    serial, w.balance ? "balance" : "flows",
	    is_broken(INV_LEAVING) ? 60U : 5U,
	    is_broken(INV_RETRY_BUDGET) ? 100U : 10 + serial % 2,
	    w.balance ? "balance" : "flows");

	return (struct str){text, (size_t)n};
}

uint64_t
service_id(unsigned index)
{
	return cfg_service_id(str_of(index == 0 ? "desk" : "store"));
}

static void
dispatch(const struct event *e)
{
	switch (e->kind) {
	case EV_TO_CALLER:
		caller_receive(
		    e->who, (struct str){(const char *)e->bytes, e->len});
		break;
	case EV_CALLER:
		caller_timer(e->who);
		break;
	case EV_TO_TARGET:
		if (e->generation == w.procs[e->who].generation)
			target_receive(e->who,
			    (struct str){(const char *)e->bytes, e->len});
		break;
	case EV_TARGET_DONE:
		target_done(e->who, e->generation, e->value, e->value2);
		break;
	case EV_FEEDS:
		targets_notify();
		post(FEED_PERIOD_NS, EV_FEEDS, 0, 0, 0, NULL, 0);
		break;
	case EV_NOTIFY:
		target_notify(e->who);
		break;
	case EV_PLATFORM:
		platform_event(e);
		break;
	case EV_FAULTS:
		procs_check();
		versions_check();
		platform_tick();
		if (!w.is_settling)
			fault_inject();
		post(FAULT_PERIOD_NS, EV_FAULTS, 0, 0, 0, NULL, 0);
		break;
	case EV_TICK:
	case EV_FRAME:
	case EV_CALLER_IN:
	case EV_FROM_TARGET:
	case EV_FETCHED:
		proc_event(e);
		break;
	}
}

void
run_until(uint64_t steps, uint64_t end_ns)
{
	while (w.steps < steps && w.now < end_ns) {
		struct event *e = evq_pop(&queue, &w.now);

		w.steps++;
		dispatch(e);
		free(e);
	}
}
