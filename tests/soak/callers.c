#include "dgram.h"
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CODE(c, d) ((c) << 5 | (d))
#define RESENDS_MAX 4
#define RESEND_NS (2 * NS_PER_S)
#define BLOCKS 12
/** A feed that is silent for longer is broken. */
#define FEED_SILENT_NS (40 * NS_PER_S)
#define OBSERVE_HALF (1 << 23)

enum kind {
	CLERK,
	OWNER,
	READER
};

/** A caller; one request at a time. */
struct caller {
	enum kind kind;
	unsigned service;
	struct dgram request;
	bool open;
	bool challenged;
	uint16_t next_mid;
	uint64_t token;
	unsigned resends;
	uint64_t timer_ns; /**< next resend or request */
	uint64_t id;
	int64_t block;
	uint64_t etag;
	bool feed_open;
	uint64_t heard_ns;
	uint64_t feed_at;
	int64_t observe;
};

static struct caller callers[CALLERS];
static uint8_t ran[IDS_MAX];
static uint8_t not_run[IDS_MAX];
static uint64_t next_id = 1;

static struct {
	uint64_t tickets;
	uint64_t refused;
	uint64_t unknown;
	uint64_t given_up;
	uint64_t documents;
	uint64_t restarted;
	uint64_t notified;
	uint64_t feeds_lost;
} sum;

uint64_t
ticket_work(uint64_t id)
{
	uint64_t work = 5 * NS_PER_MS + rng_below(&w.rng, 60 * NS_PER_MS);

	(void)id;
	/* Now and then an answer comes far too late. */
	if (!w.planned_only && rng_chance(&w.rng, 2000))
		work += 9 * NS_PER_S;
	return work;
}

void
ticket_ran(uint64_t id, unsigned agent)
{
	if (id >= IDS_MAX)
		return;
	check(INV_ONCE, ++ran[id] == 1, "ticket %llu ran again, at agent %u",
	    (unsigned long long)id, agent);
	check(INV_NOT_RUN, not_run[id] == 0,
	    "ticket %llu ran at agent %u after \"not run\"",
	    (unsigned long long)id, agent);
}

static const char *
service_name(const struct caller *c)
{
	return c->service == 0 ? "desk" : "store";
}

/* The fabric hands each datagram to any balancer that it believes alive. */
static void
transmit(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	struct addr a = {0x7f000002, (uint16_t)(9000 + who)};
	unsigned at = (unsigned)rng_below(&w.rng, BALANCERS);
	uint8_t buf[512];
	size_t n = dgram_write(d, buf, sizeof(buf));

	for (unsigned i = 0; i < BALANCERS; i++) {
		struct proc *p = &w.procs[(at + i) % BALANCERS];

		if (!p->alive || p->stop_ns != 0 || !bal_is_ready(p->bal))
			continue;
		send_link(p->domain, p->domain, EV_CALLER_IN,
		    (at + i) % BALANCERS, addr_pack(a), service_id(c->service),
		    buf, n);
		return;
	}
}

static void
set_timer(unsigned who, uint64_t delay)
{
	callers[who].timer_ns = w.now + delay;
	post(delay, EV_CALLER, who, 0, 0, NULL, 0);
}

static void
send_request(unsigned who)
{
	struct caller *c = &callers[who];

	transmit(who, &c->request);
	set_timer(who, RESEND_NS << c->resends);
}

static void
begin(unsigned who)
{
	static const char *const paths[] = {"run", "document", "feed"};
	struct caller *c = &callers[who];

	c->open = true;
	c->challenged = false;
	c->resends = 0;
	c->token += CALLERS;
	/* Some downloads are not confirmable. */
	c->request = dgram_of(c->kind == OWNER && who % 8 == 4,
	    c->kind == CLERK ? 2 : 1, c->next_mid++);
	memcpy(c->request.token, &c->token, 8);
	c->request.token_len = 8;
	c->request.path = paths[c->kind];
	if (c->kind == CLERK) {
		c->id = next_id++;
		snprintf(c->request.payload, sizeof(c->request.payload),
		    "%s %llu", service_name(c), (unsigned long long)c->id);
	} else if (c->kind == OWNER) {
		c->request.block2 = c->block << 4 | 2;
	} else {
		c->request.observe = 0;
		c->observe = -1;
	}
	send_request(who);
}

static void
end(unsigned who, uint64_t pause)
{
	callers[who].open = false;
	set_timer(who, pause + rng_below(&w.rng, 200 * NS_PER_MS));
}

static void
watch_feed(struct caller *c)
{
	if (!c->feed_open || w.now < c->heard_ns + FEED_SILENT_NS)
		return;
	sum.feeds_lost++;
	check(INV_PLANNED, !w.planned_only, "feed of caller %ld is silent",
	    (long)(c - callers));
	c->feed_open = false;
}

/* A reader closes its feed; it opens another a little later. */
static void
cancel_feed(unsigned who)
{
	struct caller *c = &callers[who];

	c->request.mid = c->next_mid++;
	c->request.observe = 1;
	transmit(who, &c->request);
	c->feed_open = false;
	end(who, NS_PER_S);
}

void
caller_timer(unsigned who)
{
	struct caller *c = &callers[who];

	if (w.now < c->timer_ns)
		return;
	if (c->kind == READER && c->feed_open) {
		watch_feed(c);
		if (!w.quiet_end && rng_chance(&w.rng, 10000))
			cancel_feed(who);
		else
			set_timer(who, NS_PER_S);
		return;
	}
	if (!c->open) {
		if (!w.quiet_end || c->kind == READER)
			begin(who);
		return;
	}
	if (c->resends++ < RESENDS_MAX) {
		send_request(who);
		return;
	}
	sum.given_up++;
	check(
	    INV_PLANNED, !w.planned_only, "request of caller %u is lost", who);
	c->block = 0;
	end(who, NS_PER_S);
}

static void
on_challenge(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];

	/* One attempt uses one permit, as the stock client does. */
	if (c->challenged)
		return;
	c->challenged = true;
	c->resends = 0;
	c->token += CALLERS;
	c->request.mid = c->next_mid++;
	memcpy(c->request.token, &c->token, 8);
	memcpy(c->request.echo, d->echo, d->echo_len);
	c->request.echo_len = d->echo_len;
	send_request(who);
}

/*
 * A challenge that comes after the answer: some clients ask again all the
 * same. What was called "not run" must still never run.
 */
static void
answer_late(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	struct dgram again = c->request;

	if (c->kind != CLERK || c->challenged || d->code != CODE(4, 1) ||
	    memcmp(d->token, c->request.token, 8) != 0)
		return;
	c->challenged = true;
	again.mid = c->next_mid++;
	memcpy(again.echo, d->echo, d->echo_len);
	again.echo_len = d->echo_len;
	transmit(who, &again);
}

static void
on_ticket(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	char service[8];
	unsigned long long id = 0;

	if (d->code == CODE(4, 1)) {
		on_challenge(who, d);
		return;
	}
	if (strncmp(d->payload, "not run", 7) == 0) {
		sum.refused++;
		check(INV_NOT_RUN, c->id >= IDS_MAX || ran[c->id] == 0,
		    "ticket %llu ran, and its caller was told \"%s\"",
		    (unsigned long long)c->id, d->payload);
		if (c->id < IDS_MAX)
			not_run[c->id] = 1;
	} else if (strncmp(d->payload, "outcome", 7) == 0) {
		sum.unknown++;
		check(INV_PLANNED, !w.planned_only, "caller %u: %s", who,
		    d->payload);
	} else {
		sum.tickets++;
		check(INV_PLACE,
		    sscanf(d->payload, "%7[a-z] ran %llu", service, &id) == 2 &&
			strcmp(service, service_name(c)) == 0 && id == c->id,
		    "caller %u asked for %llu and got \"%s\"", who,
		    (unsigned long long)c->id, d->payload);
		check(INV_ONCE, c->id >= IDS_MAX || ran[c->id] == 1,
		    "ticket %llu was confirmed and ran %d times",
		    (unsigned long long)c->id, ran[c->id]);
	}
	end(who, 20 * NS_PER_MS);
}

static void
on_document(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	char want[64];

	if (d->code != CODE(2, 5)) {
		sum.refused++;
		end(who, 30 * NS_PER_MS);
		return;
	}
	snprintf(want, sizeof(want), "%s block %lld", service_name(c),
	    (long long)c->block);
	check(INV_PLACE, strcmp(want, d->payload) == 0,
	    "caller %u asked for \"%s\" and got \"%s\"", who, want, d->payload);
	if (c->block > 0 && d->etag != c->etag) {
		/* Another document: begin again, as the protocol says. */
		sum.restarted++;
		check(INV_PLANNED, !w.planned_only,
		    "download of caller %u changed its target", who);
		c->block = 0;
		end(who, 0);
		return;
	}
	c->etag = d->etag;
	c->block++;
	check(INV_WHOLE, c->block <= BLOCKS, "too many blocks");
	if ((d->block2 & 8) == 0) {
		check(INV_WHOLE, c->block == BLOCKS,
		    "a document of %lld blocks", (long long)c->block);
		sum.documents++;
		c->block = 0;
		end(who, 500 * NS_PER_MS);
		return;
	}
	begin(who);
}

static void
on_feed(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	struct dgram ack = dgram_of(2, 0, d->mid);
	char service[8];
	unsigned long long at = 0;

	if (d->code != CODE(2, 5)) {
		sum.refused++;
		end(who, 500 * NS_PER_MS);
		return;
	}
	if (d->type == 0)
		transmit(who, &ack);
	check(INV_PLACE,
	    sscanf(d->payload, "%7[a-z] at %llu", service, &at) == 2 &&
		strcmp(service, service_name(c)) == 0,
	    "reader %u got \"%s\"", who, d->payload);
	/* A datagram that the network held back is told by its number. */
	if (c->observe >= 0 && d->observe >= 0 &&
	    ((d->observe - c->observe) & 0xffffff) >= OBSERVE_HALF)
		return;
	check(INV_PLANNED, !w.planned_only || at >= c->feed_at,
	    "feed of caller %u went back", who);
	c->observe = d->observe;
	c->feed_at = at;
	c->heard_ns = w.now;
	c->open = false;
	sum.notified++;
	if (!c->feed_open) {
		c->feed_open = true;
		set_timer(who, NS_PER_S);
	}
}

void
caller_receive(unsigned who, struct str bytes)
{
	struct caller *c = &callers[who];
	struct dgram d;

	check(INV_PLACE, dgram_read(bytes, &d), "a malformed answer");
	if (d.code == 0 || memcmp(d.token, &c->token, 8) != 0)
		return;
	if (!c->open && !(c->kind == READER && c->feed_open)) {
		answer_late(who, &d);
		return;
	}
	if (c->kind == CLERK)
		on_ticket(who, &d);
	else if (c->kind == OWNER)
		on_document(who, &d);
	else
		on_feed(who, &d);
}

void
callers_start(void)
{
	for (unsigned i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->kind = i % 4 == 0 ? OWNER : i % 4 == 1 ? READER : CLERK;
		c->service = c->kind == OWNER || i % 8 == 7;
		c->token = i;
		c->next_mid = (uint16_t)rng_next(&w.rng);
		set_timer(i, rng_below(&w.rng, NS_PER_S));
	}
}

void
callers_end(void)
{
	for (unsigned i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		if (c->kind == READER)
			check(INV_PLANNED, c->feed_open || !w.planned_only,
			    "feed of caller %u is not open at the end", i);
	}
}

void
print_callers(void)
{
	printf("callers: tickets %llu refused %llu unknown %llu given-up %llu "
	       "documents %llu restarted %llu notified %llu feeds-lost %llu\n",
	    (unsigned long long)sum.tickets, (unsigned long long)sum.refused,
	    (unsigned long long)sum.unknown, (unsigned long long)sum.given_up,
	    (unsigned long long)sum.documents,
	    (unsigned long long)sum.restarted, (unsigned long long)sum.notified,
	    (unsigned long long)sum.feeds_lost);
}
