#include "dgram.h"
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CODE(c, d) ((c) << 5 | (d))
#define RETRANSMITS_MAX 4
#define RETRANSMIT_NS (2 * NS_PER_S)
#define BLOCKS 12
/** A feed without a notification for this long counts as lost. */
#define FEED_TIMEOUT_NS (40 * NS_PER_S)
/** Half the range of the 24-bit sequence numbers of notifications. */
#define OBSERVE_HALF_RANGE (1 << 23)

enum caller_kind {
	TICKET_CALLER,
	DOWNLOAD_CALLER,
	FEED_CALLER
};

/** A caller; it has one request in progress at a time. */
struct caller {
	enum caller_kind kind;
	unsigned service;
	struct dgram request;
	bool in_progress;
	bool challenged;
	uint16_t next_mid;
	uint64_t token;
	unsigned retransmits;
	uint64_t timer_ns; /**< next retransmission or request */
	uint64_t id;	   /**< of the ticket */
	int64_t block;	   /**< next block of the download */
	uint64_t etag;
	bool feed_open;
	uint64_t last_notified_ns;
	uint64_t feed_time_ns; /**< target's time in the last notification */
	int64_t observe;       /**< its sequence number, -1 for none */
};

static struct caller callers[CALLERS];
static uint8_t run_count[IDS_MAX];
static uint8_t reported_not_run[IDS_MAX];
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
} totals;

uint64_t
ticket_work_ns(uint64_t id)
{
	uint64_t work = 5 * NS_PER_MS + rng_below(&w.rng, 60 * NS_PER_MS);

	(void)id;
	/* Some responses come after the service's deadline of 8 s. */
	if (!w.planned_only && rng_chance(&w.rng, 2000))
		work += 9 * NS_PER_S;
	return work;
}

void
ticket_ran(uint64_t id, unsigned agent)
{
	if (id >= IDS_MAX)
		return;
	check(INV_RUN_ONCE, ++run_count[id] == 1,
	    "ticket %llu ran again, at agent %u", (unsigned long long)id,
	    agent);
	check(INV_NOT_RUN, reported_not_run[id] == 0,
	    "ticket %llu ran at agent %u after a \"not run\" response",
	    (unsigned long long)id, agent);
}

static const char *
service_name(const struct caller *c)
{
	return c->service == 0 ? "desk" : "store";
}

/* Sends a datagram to a random ready balancer, as the network fabric does. */
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
	set_timer(who, RETRANSMIT_NS << c->retransmits);
}

static void
begin_request(unsigned who)
{
	static const char *const paths[] = {"run", "document", "feed"};
	struct caller *c = &callers[who];

	c->in_progress = true;
	c->challenged = false;
	c->retransmits = 0;
	c->token += CALLERS;
	/* Some downloads are not confirmable. */
	c->request = dgram_make(c->kind == DOWNLOAD_CALLER && who % 8 == 4,
	    c->kind == TICKET_CALLER ? 2 : 1, c->next_mid++);
	memcpy(c->request.token, &c->token, 8);
	c->request.token_len = 8;
	c->request.path = paths[c->kind];
	if (c->kind == TICKET_CALLER) {
		c->id = next_id++;
		snprintf(c->request.payload, sizeof(c->request.payload),
		    "%s %llu", service_name(c), (unsigned long long)c->id);
	} else if (c->kind == DOWNLOAD_CALLER) {
		c->request.block2 = c->block << 4 | 2;
	} else {
		c->request.observe = 0;
		c->observe = -1;
	}
	send_request(who);
}

static void
end_request(unsigned who, uint64_t pause)
{
	callers[who].in_progress = false;
	set_timer(who, pause + rng_below(&w.rng, 200 * NS_PER_MS));
}

static void
check_feed(struct caller *c)
{
	if (!c->feed_open || w.now < c->last_notified_ns + FEED_TIMEOUT_NS)
		return;
	totals.feeds_lost++;
	check(INV_PLANNED_CHANGE, !w.planned_only,
	    "feed of caller %ld received no notification for 40 s",
	    (long)(c - callers));
	c->feed_open = false;
}

/* Closes the feed; the caller opens another about 1 s later. */
static void
cancel_feed(unsigned who)
{
	struct caller *c = &callers[who];

	c->request.mid = c->next_mid++;
	c->request.observe = 1;
	transmit(who, &c->request);
	c->feed_open = false;
	end_request(who, NS_PER_S);
}

void
caller_timer(unsigned who)
{
	struct caller *c = &callers[who];

	if (w.now < c->timer_ns)
		return;
	if (c->kind == FEED_CALLER && c->feed_open) {
		check_feed(c);
		if (!w.is_settling && rng_chance(&w.rng, 10000))
			cancel_feed(who);
		else
			set_timer(who, NS_PER_S);
		return;
	}
	if (!c->in_progress) {
		if (!w.is_settling || c->kind == FEED_CALLER)
			begin_request(who);
		return;
	}
	if (c->retransmits++ < RETRANSMITS_MAX) {
		send_request(who);
		return;
	}
	totals.given_up++;
	check(INV_PLANNED_CHANGE, !w.planned_only,
	    "request of caller %u received no response", who);
	c->block = 0;
	end_request(who, NS_PER_S);
}

static void
on_challenge(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];

	/* Each attempt uses one permit, as in the standard client. */
	if (c->challenged)
		return;
	c->challenged = true;
	c->retransmits = 0;
	c->token += CALLERS;
	c->request.mid = c->next_mid++;
	memcpy(c->request.token, &c->token, 8);
	memcpy(c->request.echo, d->echo, d->echo_len);
	c->request.echo_len = d->echo_len;
	send_request(who);
}

/*
 * Some clients answer a challenge that arrives after the response. A request
 * that was reported as "not run" must not run then either.
 */
static void
retry_late_challenge(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	struct dgram again = c->request;

	if (c->kind != TICKET_CALLER || c->challenged ||
	    d->code != CODE(4, 1) || memcmp(d->token, c->request.token, 8) != 0)
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
		totals.refused++;
		check(INV_NOT_RUN, c->id >= IDS_MAX || run_count[c->id] == 0,
		    "ticket %llu ran, and its caller received \"%s\"",
		    (unsigned long long)c->id, d->payload);
		if (c->id < IDS_MAX)
			reported_not_run[c->id] = 1;
	} else if (strncmp(d->payload, "outcome", 7) == 0) {
		totals.unknown++;
		check(INV_PLANNED_CHANGE, !w.planned_only, "caller %u: %s", who,
		    d->payload);
	} else {
		totals.tickets++;
		check(INV_RIGHT_PLACE,
		    sscanf(d->payload, "%7[a-z] ran %llu", service, &id) == 2 &&
			strcmp(service, service_name(c)) == 0 && id == c->id,
		    "caller %u sent ticket %llu and received \"%s\"", who,
		    (unsigned long long)c->id, d->payload);
		check(INV_RUN_ONCE, c->id >= IDS_MAX || run_count[c->id] == 1,
		    "ticket %llu was confirmed but ran %d times",
		    (unsigned long long)c->id, run_count[c->id]);
	}
	end_request(who, 20 * NS_PER_MS);
}

static void
on_document(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	char want[64];

	if (d->code != CODE(2, 5)) {
		totals.refused++;
		end_request(who, 30 * NS_PER_MS);
		return;
	}
	snprintf(want, sizeof(want), "%s block %lld", service_name(c),
	    (long long)c->block);
	check(INV_RIGHT_PLACE, strcmp(want, d->payload) == 0,
	    "caller %u requested \"%s\" and received \"%s\"", who, want,
	    d->payload);
	if (c->block > 0 && d->etag != c->etag) {
		/* The document has changed: restart at block 0. */
		totals.restarted++;
		check(INV_PLANNED_CHANGE, !w.planned_only,
		    "document changed during the download of caller %u", who);
		c->block = 0;
		end_request(who, 0);
		return;
	}
	c->etag = d->etag;
	c->block++;
	check(INV_COMPLETE_DOWNLOAD, c->block <= BLOCKS, "too many blocks");
	if ((d->block2 & 8) == 0) {
		check(INV_COMPLETE_DOWNLOAD, c->block == BLOCKS,
		    "document ends after %lld blocks", (long long)c->block);
		totals.documents++;
		c->block = 0;
		end_request(who, 500 * NS_PER_MS);
		return;
	}
	begin_request(who);
}

static void
on_feed(unsigned who, const struct dgram *d)
{
	struct caller *c = &callers[who];
	struct dgram ack = dgram_make(2, 0, d->mid);
	char service[8];
	unsigned long long at = 0;

	if (d->code != CODE(2, 5)) {
		totals.refused++;
		end_request(who, 500 * NS_PER_MS);
		return;
	}
	if (d->type == 0)
		transmit(who, &ack);
	check(INV_RIGHT_PLACE,
	    sscanf(d->payload, "%7[a-z] at %llu", service, &at) == 2 &&
		strcmp(service, service_name(c)) == 0,
	    "feed of caller %u received \"%s\"", who, d->payload);
	/* Ignore a notification that arrives out of order. */
	if (c->observe >= 0 && d->observe >= 0 &&
	    ((d->observe - c->observe) & 0xffffff) >= OBSERVE_HALF_RANGE)
		return;
	check(INV_PLANNED_CHANGE, !w.planned_only || at >= c->feed_time_ns,
	    "feed of caller %u received an older notification", who);
	c->observe = d->observe;
	c->feed_time_ns = at;
	c->last_notified_ns = w.now;
	c->in_progress = false;
	totals.notified++;
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

	check(INV_RIGHT_PLACE, dgram_read(bytes, &d), "malformed response");
	if (d.code == 0 || memcmp(d.token, &c->token, 8) != 0)
		return;
	if (!c->in_progress && !(c->kind == FEED_CALLER && c->feed_open)) {
		retry_late_challenge(who, &d);
		return;
	}
	if (c->kind == TICKET_CALLER)
		on_ticket(who, &d);
	else if (c->kind == DOWNLOAD_CALLER)
		on_document(who, &d);
	else
		on_feed(who, &d);
}

void
callers_start(void)
{
	for (unsigned i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->kind = i % 4 == 0   ? DOWNLOAD_CALLER
			  : i % 4 == 1 ? FEED_CALLER
				       : TICKET_CALLER;
		c->service = c->kind == DOWNLOAD_CALLER || i % 8 == 7;
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

		if (c->kind == FEED_CALLER)
			check(INV_PLANNED_CHANGE,
			    c->feed_open || !w.planned_only,
			    "feed of caller %u is not open at the end", i);
	}
}

void
print_callers(void)
{
	printf("callers: tickets %llu refused %llu unknown %llu given-up %llu "
	       "documents %llu restarted %llu notified %llu feeds-lost %llu\n",
	    (unsigned long long)totals.tickets,
	    (unsigned long long)totals.refused,
	    (unsigned long long)totals.unknown,
	    (unsigned long long)totals.given_up,
	    (unsigned long long)totals.documents,
	    (unsigned long long)totals.restarted,
	    (unsigned long long)totals.notified,
	    (unsigned long long)totals.feeds_lost);
}
