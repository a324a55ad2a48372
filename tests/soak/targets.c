#include "dgram.h"
#include "world.h"

#include <stdio.h>
#include <string.h>

#define SLOTS 4
#define REGISTRATIONS_MAX 64
#define BLOCKS 12
/** Unit of the notifications' sequence numbers, which follow the clock. */
#define OBSERVE_UNIT_NS (NS_PER_MS / 10)
#define CODE(c, d) ((c) << 5 | (d))

/** The target of an agent. */
struct target {
	int running;
	unsigned incarnation;
	uint16_t next_mid;
	struct {
		uint8_t token[8];
		uint64_t is_active;
	} registration; /**< libcoap keeps one per peer and request */
};

static struct target targets[AGENTS];
static uint64_t shed_until_ns;

void
targets_shed(uint64_t until_ns)
{
	shed_until_ns = until_ns;
}

void
target_restart(unsigned agent)
{
	struct target *t = &targets[agent - BALANCERS];

	t->running = 0;
	t->incarnation++;
	t->registration.is_active = 0;
}

static const char *
service_name(unsigned agent)
{
	return w.procs[agent].self.service == service_id(0) ? "desk" : "store";
}

static void
send_to_agent(unsigned agent, const struct dgram *d, uint64_t delay)
{
	uint8_t buf[512];
	size_t n = dgram_write(d, buf, sizeof(buf));

	post(delay + NS_PER_MS / 10, EV_FROM_TARGET, agent, 0, 0, buf, n);
}

static struct dgram
response_to(const struct dgram *q, int code)
{
	struct dgram d = dgram_make(2, code, q->mid);

	memcpy(d.token, q->token, q->token_len);
	d.token_len = q->token_len;
	return d;
}

static bool
should_shed(void)
{
	return w.now < shed_until_ns &&
	       rng_chance(
		   &w.rng, is_broken(INV_RETRY_BUDGET) ? 990000 : 900000);
}

static void
on_ticket(unsigned agent, const struct dgram *q)
{
	struct target *t = &targets[agent - BALANCERS];
	char service[8];
	unsigned long long id = 0;
	struct dgram d;
	uint64_t exchange_token;
	uint64_t work;

	check(INV_RIGHT_PLACE,
	    sscanf(q->payload, "%7[a-z] %llu", service, &id) == 2 &&
		strcmp(service, service_name(agent)) == 0,
	    "ticket \"%s\" arrived at a target of %s", q->payload,
	    service_name(agent));
	if (should_shed()) {
		if (is_broken(INV_NOT_RUN))
			ticket_ran(id, agent);
		d = response_to(q, CODE(5, 3));
		send_to_agent(agent, &d, 0);
		return;
	}
	t->running++;
	check(INV_RESOURCE_BOUNDS, t->running <= SLOTS + 1 || !w.planned_only,
	    "agent %u runs %d tickets at a time", agent, t->running);
	ticket_ran(id, agent);
	d = dgram_make(2, 0, q->mid);
	send_to_agent(agent, &d, 0);
	memcpy(&exchange_token, q->token, 8);
	work = ticket_work_ns(id);
	post(work, EV_TARGET_DONE, agent, exchange_token,
	    id | (uint64_t)t->incarnation << 40, NULL, 0);
}

void
target_done(
    unsigned agent, unsigned generation, uint64_t exchange_token, uint64_t id)
{
	struct target *t = &targets[agent - BALANCERS];
	struct dgram d = dgram_make(1, CODE(2, 1), t->next_mid++);

	(void)generation;
	if (id >> 40 != t->incarnation)
		return;
	if (t->running > 0)
		t->running--;
	memcpy(d.token, &exchange_token, 8);
	d.token_len = 8;
	snprintf(d.payload, sizeof(d.payload), "%s ran %llu",
	    service_name(agent), (unsigned long long)(id & 0xffffffffff));
	send_to_agent(agent, &d, 0);
}

static void
on_document(unsigned agent, const struct dgram *q)
{
	struct dgram d = response_to(q, CODE(2, 5));
	int64_t num = q->block2 < 0 ? 0 : q->block2 >> 4;

	if (should_shed()) {
		d.code = CODE(5, 3);
		send_to_agent(agent, &d, 0);
		return;
	}
	/* Each incarnation of a target has its own document. */
	d.etag = 1 + agent + 100ULL * targets[agent - BALANCERS].incarnation;
	d.block2 = num << 4 | (num + 1 < BLOCKS ? 8 : 0) | 2;
	if (is_broken(INV_COMPLETE_DOWNLOAD) && num > 3 &&
	    rng_chance(&w.rng, 1000))
		d.block2 &= ~8;
	snprintf(d.payload, sizeof(d.payload), "%s block %lld",
	    service_name(agent), (long long)num);
	send_to_agent(agent, &d, NS_PER_MS);
}

static void
write_feed_payload(unsigned agent, struct dgram *d)
{
	snprintf(d->payload, sizeof(d->payload), "%s at %llu",
	    service_name(agent), (unsigned long long)w.now);
}

static void
on_feed(unsigned agent, const struct dgram *q)
{
	struct target *t = &targets[agent - BALANCERS];
	struct dgram d = response_to(q, CODE(2, 5));

	if (q->observe == 0) {
		memcpy(t->registration.token, q->token, 8);
		t->registration.is_active = 1;
		d.observe = (int64_t)(w.now / OBSERVE_UNIT_NS) & 0xffffff;
	}
	if (q->observe == 1 && memcmp(t->registration.token, q->token, 8) == 0)
		t->registration.is_active = 0;
	write_feed_payload(agent, &d);
	send_to_agent(agent, &d, 0);
}

void
target_receive(unsigned agent, struct str bytes)
{
	struct dgram q;
	struct dgram d;

	if (!dgram_read(bytes, &q)) {
		check(INV_RIGHT_PLACE, false, "malformed request at a target");
		return;
	}
	if (q.code == 0) {
		d = dgram_make(3, 0, q.mid);
		if (q.type == 0)
			send_to_agent(agent, &d, 0);
		return;
	}
	/* The remaining time of a request is within the service's deadline. */
	check(INV_RETRY_BUDGET,
	    q.observe == 1 || (q.deadline_ms > 0 && q.deadline_ms <= 8000),
	    "request at a target has %lld ms left", (long long)q.deadline_ms);
	if (strcmp(q.read_path, "run") == 0)
		on_ticket(agent, &q);
	else if (strcmp(q.read_path, "document") == 0)
		on_document(agent, &q);
	else
		on_feed(agent, &q);
}

void
target_notify(unsigned agent)
{
	struct target *t = &targets[agent - BALANCERS];
	struct dgram d = dgram_make(1, CODE(2, 5), t->next_mid++);

	if (!t->registration.is_active)
		return;
	memcpy(d.token, t->registration.token, 8);
	d.token_len = 8;
	d.observe = (int64_t)(w.now / OBSERVE_UNIT_NS) & 0xffffff;
	write_feed_payload(agent, &d);
	send_to_agent(agent, &d, 0);
}

void
targets_notify(void)
{
	/*
	 * The random delay precedes the sending of the notification, so that
	 * datagrams between a target and its agent stay in order.
	 */
	for (unsigned i = BALANCERS; i < BALANCERS + AGENTS; i++)
		post(rng_below(&w.rng, 10 * NS_PER_MS), EV_NOTIFY, i, 0, 0,
		    NULL, 0);
}
