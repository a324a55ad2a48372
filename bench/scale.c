/**
 * @file scale.c
 * Cost of control traffic in a large installation: many balancers and agents
 * run the decision modules and the wire codec on a virtual clock, in one
 * process.
 *
 * usage: scale BALANCERS AGENTS SECONDS
 *
 * Every process starts with the full membership. The program measures control
 * bytes, messages and processor time for each role over SECONDS of virtual
 * time, then the time until all processes apply a new configuration, and
 * until all balancers detect the failure of a rack.
 */
#include "base/clock.h"
#include "codec/coap.h"
#include "codec/wire.h"
#include "decide/delta.h"
#include "events.h"
#include "request/agent.h"
#include "request/balancer.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS 8
#define AGENTS_PER_SERVICE 4
#define SETTLE_NS (6 * NS_PER_S)
/** One-way delay within a region and between the two regions. */
#define LOCAL_DELAY_NS (1 * NS_PER_MS)
#define REMOTE_DELAY_NS (5 * NS_PER_MS)
/** Size of a fetch's request and reply with framing, without the text. */
#define FETCH_OVERHEAD_BYTES 96
/** Rate of a transfer between two instances, in bytes/s. */
#define TRANSFER_BYTES_PER_S 10000000ULL

/** A simulated balancer or agent process. */
struct node {
	bool is_agent;
	bool alive;
	unsigned index;
	struct balancer *bal;
	struct agent *agt;
	struct member self;
	struct rng rng;
	struct counters ctr;
	uint64_t sent;
	uint64_t sent_msgs;
	uint64_t received;
	uint64_t busy_ns;
	uint64_t config_sent;
	bool fetching;
};

enum item_kind {
	TICK,
	FRAME,
	PROBE_REPLY,
	FETCHED
};

struct item {
	enum item_kind kind;
	struct node *to;
	unsigned from;
	size_t len;
	uint8_t bytes[];
};

static struct node *nodes;
static uint64_t
    bytes_by_kind[2][MSG_RECORDS + 1]; /**< bytes sent, by role and kind */
static unsigned balancers;
static unsigned agents;
static struct event_queue queue;
static uint64_t now;
static struct keyring keys = {.count = 1};
static char *text;
static size_t text_len;

static struct addr
addr_of(unsigned index)
{
	return (struct addr){0x0a000000 + index, 7400};
}

static uint64_t
wall_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

static void
post(uint64_t delay, enum item_kind kind, struct node *to, unsigned from,
    const void *bytes, size_t len)
{
	struct item *i = mem_new(sizeof(*i) + len);

	i->kind = kind;
	i->to = to;
	i->from = from;
	i->len = len;
	if (len > 0)
		memcpy(i->bytes, bytes, len);
	evq_push(&queue, now + delay, i);
}

static uint64_t
delay_between(unsigned a, unsigned b)
{
	return (a % DOMAINS) / 4 == (b % DOMAINS) / 4 ? LOCAL_DELAY_NS
						      : REMOTE_DELAY_NS;
}

static void
send_message(void *ctx, struct addr to, const struct msg *m)
{
	struct node *n = ctx;
	uint8_t buf[WIRE_UDP_MAX];
	size_t len = wire_encode(&keys, m, buf, sizeof(buf));
	unsigned dst = to.ip - 0x0a000000;

	n->sent += len;
	n->sent_msgs++;
	bytes_by_kind[n->is_agent][m->kind] += len;
	post(delay_between(n->index, dst), FRAME, &nodes[dst], n->index, buf,
	    len);
}

static void
send_caller(void *ctx, const struct flow_key *flow, struct str bytes)
{
	(void)ctx;
	(void)flow;
	(void)bytes;
}

static void
send_target(void *ctx, struct str dgram)
{
	struct node *n = ctx;
	uint8_t reset[4] = {0x70, 0, (uint8_t)dgram.p[2], (uint8_t)dgram.p[3]};

	post(LOCAL_DELAY_NS / 10, PROBE_REPLY, n, 0, reset, sizeof(reset));
}

static void
fetch_config(void *ctx, struct addr from, uint64_t version)
{
	struct node *n = ctx;
	unsigned src = from.ip - 0x0a000000;

	(void)version;
	if (n->fetching)
		return;
	n->fetching = true;
	post(3 * delay_between(n->index, src) +
		 text_len * NS_PER_S / TRANSFER_BYTES_PER_S,
	    FETCHED, n, src, NULL, 0);
}

static bool
apply_config(struct node *n, uint64_t version)
{
	struct cfg c;

	if (cfg_parse((struct str){text, text_len}, "scale", &c).code !=
	    STATUS_OK)
		abort();
	c.version = version;
	return bal_apply_config(n->bal, &c);
}

static void
make_config_text(unsigned services)
{
	text = mem_new((size_t)services * 128 + 1);
	for (unsigned i = 0; i < services; i++)
		text_len += (size_t)sprintf(text + text_len,
		    "service s%u\naddress 10.1.%u.%u:5683\nweigh flows\n"
		    "slots 4\ndeadline 8s\n",
		    i, i / 250, i % 250 + 1);
}

static void
make_node(unsigned index)
{
	struct node *n = &nodes[index];
	unsigned service = (index - balancers) / AGENTS_PER_SERVICE;
	char name[16];

	n->is_agent = index >= balancers;
	n->alive = true;
	n->index = index;
	rng_init(&n->rng, index + 1);
	n->self = (struct member){.id = 0x9e3779b97f4a7c15ULL * (index + 1),
	    .incarnation = 1,
	    .seq = 1,
	    .role = n->is_agent ? MBR_AGENT : MBR_BALANCER,
	    .addr = addr_of(index)};
	snprintf(n->self.domain, sizeof(n->self.domain), "domain-%u",
	    index % DOMAINS);
	if (n->is_agent) {
		struct agt_params p = {.seed_count = 4,
		    .flow_capacity = 65536,
		    .permit_capacity = 8192,
		    .keep_copies = true};
		struct agt_ops ops = {send_message, send_target, n};

		snprintf(name, sizeof(name), "s%u", service);
		n->self.service = cfg_service_id(str_of(name));
		p.self = n->self;
		for (unsigned i = 0; i < p.seed_count; i++)
			p.seeds[i] = addr_of((index * 7 + i * 13) % balancers);
		n->agt = agt_new(&p, &coap_proto, &ops, &n->rng, &n->ctr, now);
	} else {
		struct bal_params p = {.seed_count = 4,
		    .self = n->self,
		    .hint_capacity = 1024,
		    .control_budget = 9000};
		struct bal_ops ops = {
		    send_message, send_caller, fetch_config, n};

		for (unsigned i = 0; i < p.seed_count; i++)
			p.seeds[i] = addr_of(i * balancers / 4);
		n->bal = bal_new(&p, &ops, &n->rng, &n->ctr, now);
	}
	post(rng_below(&n->rng, 50 * NS_PER_MS), TICK, n, 0, NULL, 0);
}

static struct member
record_of(unsigned index)
{
	struct node *n = &nodes[index];

	return *mbr_self(
	    n->is_agent ? agt_members(n->agt) : bal_members(n->bal));
}

static void
deliver_records(struct node *n, struct msg *m)
{
	if (m->u.records.count == 0)
		return;
	if (n->is_agent)
		agt_handle_message(n->agt, m, now);
	else
		bal_handle_message(n->bal, m, addr_of(0), now);
	m->u.records.count = 0;
}

static void
deliver_all_records(struct node *n)
{
	struct msg m = {.kind = MSG_RECORDS};
	struct member drained[MBR_BATCH_MAX];

	for (unsigned i = 0; i < balancers + agents; i++) {
		bool mine = nodes[i].self.service == n->self.service;

		if (i == n->index)
			continue;
		if (n->is_agent && i < balancers &&
		    (i + n->index) % balancers > 16)
			continue;
		if (n->is_agent && i >= balancers && !mine)
			continue;
		m.u.records.records[m.u.records.count++] = record_of(i);
		if (m.u.records.count == MBR_BATCH_MAX)
			deliver_records(n, &m);
	}
	deliver_records(n, &m);
	if (!n->is_agent) {
		struct mbr_table *t =
		    (struct mbr_table *)(uintptr_t)bal_members(n->bal);

		/* All processes have these records: don't gossip them. */
		while (mbr_take_updates(t, drained, MBR_BATCH_MAX) > 0)
			continue;
		apply_config(n, 1);
		while (mbr_take_updates(t, drained, MBR_BATCH_MAX) > 0)
			continue;
	}
}

static void
on_frame(struct node *n, struct item *i)
{
	static struct wire_arena arena;
	struct msg m;

	n->received += i->len;
	if (wire_decode(&keys, (struct str){(char *)i->bytes, i->len}, &arena,
		&m) != WIRE_OK)
		abort();
	if (n->is_agent)
		agt_handle_message(n->agt, &m, now);
	else
		bal_handle_message(n->bal, &m, addr_of(i->from), now);
}

static void
on_fetched(struct node *n, unsigned src)
{
	const struct cfg *theirs = bal_config(nodes[src].bal);

	struct str all = {theirs->text, theirs->text_len};
	struct str from;
	uint64_t previous;
	size_t sent = theirs->text_len;

	n->fetching = false;
	if (!nodes[src].alive)
		return;
	from = bal_previous_config(nodes[src].bal, &previous);
	if (previous > 0 && bal_config(n->bal)->version == previous)
		sent = delta_make(from, all).middle.len;
	nodes[src].config_sent += sent + FETCH_OVERHEAD_BYTES;
	apply_config(n, theirs->version);
}

static void
handle(struct item *i)
{
	struct node *n = i->to;
	uint64_t begun = wall_ns();

	if (!n->alive)
		return;
	switch (i->kind) {
	case TICK:
		if (n->is_agent)
			agt_tick(n->agt, now);
		else
			bal_tick(n->bal, now);
		post((n->is_agent ? AGT_TICK_MS : BAL_TICK_MS) * NS_PER_MS,
		    TICK, n, 0, NULL, 0);
		break;
	case FRAME:
		on_frame(n, i);
		break;
	case PROBE_REPLY:
		agt_handle_target_datagram(
		    n->agt, (struct str){(char *)i->bytes, i->len}, now);
		break;
	case FETCHED:
		on_fetched(n, i->from);
		break;
	}
	n->busy_ns += wall_ns() - begun;
}

static void
run_until(uint64_t end)
{
	while (now < end) {
		struct item *i = evq_pop(&queue, &now);

		handle(i);
		free(i);
	}
}

static void
reset_counts(void)
{
	memset(bytes_by_kind, 0, sizeof(bytes_by_kind));
	for (unsigned i = 0; i < balancers + agents; i++) {
		nodes[i].sent = 0;
		nodes[i].sent_msgs = 0;
		nodes[i].received = 0;
		nodes[i].busy_ns = 0;
		nodes[i].config_sent = 0;
	}
}

static const char *const kind_names[] = {"", "datagram", "answer", "hint",
    "register", "load", "handover", "handover-ack", "ping", "pong", "sync",
    "records"};

static void
print_role(const char *role, unsigned first, unsigned count, double seconds)
{
	uint64_t sent = 0, received = 0, busy = 0, most = 0, msgs = 0;

	for (unsigned i = first; i < first + count; i++) {
		struct node *n = &nodes[i];
		uint64_t both = n->sent + n->received;

		sent += n->sent;
		received += n->received;
		msgs += n->sent_msgs;
		busy += n->busy_ns;
		if (both > most)
			most = both;
	}
	printf("bench: control-bytes-%s-%u %.0f bytes/s (sent %.0f, received "
	       "%.0f, highest node %.0f; limit 13000)\n",
	    role, balancers, (double)(sent + received) / count / seconds,
	    (double)sent / count / seconds, (double)received / count / seconds,
	    (double)most / seconds);
	printf("bench: control-kinds-%s-%u", role, balancers);
	for (int k = 1; k <= MSG_RECORDS; k++) {
		if (bytes_by_kind[first >= balancers][k] > 0)
			printf(" %s %.0f", kind_names[k],
			    (double)bytes_by_kind[first >= balancers][k] /
				count / seconds);
	}
	printf(" bytes/s sent\n");
	printf("bench: control-msgs-%s-%u %.1f messages/s sent\n", role,
	    balancers, (double)msgs / count / seconds);
	printf("bench: control-cpu-%s-%u %.3f %% of a core (limit 2.4)\n", role,
	    balancers, (double)busy / count / seconds / (double)NS_PER_S * 100);
}

static unsigned
count_outdated(uint64_t version)
{
	unsigned n = 0;

	for (unsigned i = 0; i < balancers + agents; i++) {
		struct agt_status v;

		if (!nodes[i].alive)
			continue;
		if (nodes[i].is_agent) {
			agt_get_status(nodes[i].agt, &v);
			n += v.version < version;
		} else {
			n += bal_config(nodes[i].bal)->version < version;
		}
	}
	return n;
}

static void
measure_config(void)
{
	uint64_t begun = now;
	uint64_t most = 0;
	uint64_t sum = 0;

	reset_counts();
	/* Change one service: the slots of the first. */
	*(strstr(text, "slots 4") + strlen("slots ")) = '5';
	apply_config(&nodes[0], 2);
	while (count_outdated(2) > 0 && now < begun + 30 * NS_PER_S)
		run_until(now + 50 * NS_PER_MS);
	for (unsigned i = 0; i < balancers; i++) {
		sum += nodes[i].config_sent;
		if (nodes[i].config_sent > most)
			most = nodes[i].config_sent;
	}
	printf("bench: in-force-max-%u %.2f seconds (limit 8; %u behind)\n",
	    balancers, (double)(now - begun) / (double)NS_PER_S,
	    count_outdated(2));
	printf("bench: config-bytes-%u %.0f bytes/change sent by a balancer "
	       "(text %zu, highest %llu)\n",
	    balancers, (double)sum / balancers, text_len,
	    (unsigned long long)most);
}

static unsigned
count_unaware(unsigned first_dead, unsigned step, unsigned count)
{
	unsigned n = 0;

	for (unsigned i = 0; i < balancers; i++) {
		if (!nodes[i].alive)
			continue;
		for (unsigned k = 0; k < count; k++) {
			struct mbr_entry *e =
			    mbr_find(bal_members(nodes[i].bal),
				nodes[first_dead + k * step].self.id);

			if (e != NULL && e->m.health != MBR_DEAD) {
				n++;
				break;
			}
		}
	}
	return n;
}

/*
 * Measures the failure of a rack: one in 24 of the agents, all in one failure
 * domain.
 */
static void
measure_rack(void)
{
	unsigned count = agents / 24;
	uint64_t begun = now;

	reset_counts();
	for (unsigned k = 0; k < count; k++)
		nodes[balancers + k * DOMAINS].alive = false;
	while (count_unaware(balancers, DOMAINS, count) > 0 &&
	       now < begun + 60 * NS_PER_S)
		run_until(now + 100 * NS_PER_MS);
	printf("bench: rack-known-%u %.1f seconds until every balancer knows "
	       "%u dead agents (%u do not)\n",
	    balancers, (double)(now - begun) / (double)NS_PER_S, count,
	    count_unaware(balancers, DOMAINS, count));
	print_role("balancer-rack", 0, balancers,
	    (double)(now - begun) / (double)NS_PER_S);
}

int
main(int argc, char **argv)
{
	double seconds;

	if (argc != 4 || sodium_init() < 0) {
		fprintf(stderr, "usage: scale BALANCERS AGENTS SECONDS\n");
		return 64;
	}
	balancers = (unsigned)atoi(argv[1]);
	agents = (unsigned)atoi(argv[2]);
	seconds = atof(argv[3]);
	setvbuf(stdout, NULL, _IOLBF, 0);
	now = NS_PER_S;
	nodes = mem_new((balancers + agents) * sizeof(*nodes));
	make_config_text(
	    (agents + AGENTS_PER_SERVICE - 1) / AGENTS_PER_SERVICE);
	for (unsigned i = 0; i < balancers + agents; i++)
		make_node(i);
	for (unsigned i = 0; i < balancers + agents; i++)
		deliver_all_records(&nodes[i]);
	run_until(now + SETTLE_NS);
	/* All processes are active now; don't gossip this change either. */
	for (unsigned i = 0; i < balancers + agents; i++)
		deliver_all_records(&nodes[i]);
	run_until(now + SETTLE_NS);
	reset_counts();
	run_until(now + (uint64_t)(seconds * (double)NS_PER_S));
	print_role("balancer", 0, balancers, seconds);
	print_role("agent", balancers, agents, seconds);
	measure_config();
	measure_rack();
	return 0;
}
