/**
 * @file flow_ask.c
 * Processor time of one question about a flow, with its answer, at a balancer
 * that looks for many flows at once: what ASK_PER_MILLI is worked out from.
 *
 * usage: flow-ask AGENTS FLOWS
 */
#include "base/clock.h"
#include "codec/flow_wire.h"
#include "flow/balancer.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Answers that wait to be given. */
#define ANSWERS_MAX 65536
/** Rounds of flows that are looked for; the middle one is told. */
#define ROUNDS 21

static struct flow_msg *answers;
static size_t answer_count;
static uint64_t questions;
static struct counters counters;

static uint64_t
wall_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

static void
on_forward(
    void *ctx, struct addr agent, struct str bytes, uint32_t tag, bool probe)
{
	(void)ctx;
	(void)agent;
	(void)bytes;
	(void)tag;
	(void)probe;
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	(void)ctx;
	(void)flow;
	(void)ack;
}

/* The sender's cost is in: it is the answer's cost that an agent has. */
static void
on_send(void *ctx, uint64_t to, const struct flow_msg *m)
{
	uint8_t buf[FLOW_WIRE_MAX];

	(void)ctx;
	flow_wire_encode(m, buf, sizeof(buf));
	if (m->kind != FLOW_MSG_FIND || answer_count == ANSWERS_MAX)
		return;
	questions += m->u.find.count;
	answers[answer_count] = *m;
	answers[answer_count].kind = FLOW_MSG_FOUND;
	answers[answer_count++].from = to;
}

static const struct fb_callbacks out = {on_forward, on_reset, on_send};

static void
hear_agents(struct fb *fb, unsigned agents, uint64_t now)
{
	for (unsigned i = 0; i < agents; i++) {
		struct flow_msg m = {.kind = FLOW_MSG_AGENT,
		    .from = addr_pack((struct addr){0x0a000000 + i, 7700}),
		    .incarnation = 1,
		    .sequence = now,
		    .u.agent = {.service = i % 5 == 0 ? 2 : 1,
			.domain = "east",
			.state = TARGET_READY,
			.period_ms = 1000}};

		snprintf(m.u.agent.domain, FLOW_NAME_MAX, "d%u", i % 3);
		m.u.agent.peers = peers_digest(&fb->peers);
		fb_handle_message(fb, &m, now);
	}
}

static void
give_answers(struct fb *fb, uint64_t now)
{
	static struct flow_arena arena;
	static struct flow_msg m;
	uint8_t buf[FLOW_WIRE_MAX];

	for (size_t i = 0; i < answer_count; i++) {
		size_t len;

		for (uint32_t k = 0; k < answers[i].u.find.count; k++)
			answers[i].u.find.flows[k].where = FIND_NOT_HELD;
		len = flow_wire_encode(&answers[i], buf, sizeof(buf));
		if (flow_wire_decode(
			(struct str){(char *)buf, len}, &arena, &m))
			fb_handle_message(fb, &m, now);
	}
	answer_count = 0;
}

static uint64_t
look_for(struct fb *fb, unsigned flows, unsigned round, uint64_t now)
{
	uint64_t began = wall_ns();

	fb->query_credit_milli = INT64_MAX / 2;
	questions = 0;
	for (unsigned i = 0; i < flows; i++) {
		const struct flow_packet p = {
		    .flow = {addr_pack((struct addr){
				 0x64000000 + i, (uint16_t)(1024 + round)}),
			addr_pack((struct addr){0xc6120001, 443})},
		    .flags = FLOW_ACK,
		    .bytes = str_of("packet")};

		fb_handle_caller_packet(fb, &p, now);
	}
	do {
		fb_flush(fb);
		give_answers(fb, now);
		fb_flush(fb);
	} while (answer_count > 0);
	return (wall_ns() - began) / (questions == 0 ? 1 : questions);
}

static int
compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

int
main(int argc, char **argv)
{
	static struct fb fb;
	uint64_t cost[ROUNDS];
	uint64_t now = 100 * NS_PER_S;
	struct routes routes = {.version = 1};
	unsigned agents = argc > 1 ? (unsigned)atoi(argv[1]) : 56;
	unsigned flows = argc > 2 ? (unsigned)atoi(argv[2]) : 100;
	const struct fb_setup setup = {.id = 1,
	    .incarnation = 1,
	    .domain = "d0",
	    .hint_capacity = 1024,
	    .capacity = 38,
	    .seed = 1};

	if (sodium_init() < 0)
		return 1;
	answers = mem_new(ANSWERS_MAX * sizeof(*answers));
	fb_init(&fb, &setup, &out, NULL, &counters, now - 60 * NS_PER_S);
	routes_add_share(
	    routes_add(&routes, (struct addr){0xc6120001, 443}), 1, 1);
	fb_apply_routes(&fb, &routes, now);
	hear_agents(&fb, agents, now);
	for (unsigned i = 0; i < ROUNDS; i++)
		cost[i] = look_for(&fb, flows, i, now);
	qsort(cost, ROUNDS, sizeof(cost[0]), compare);
	printf("bench: flow-question %llu ns (%u agents, %u flows at once, "
	       "%llu questions)\n",
	    (unsigned long long)cost[ROUNDS / 2], agents, flows,
	    (unsigned long long)questions);
	fb_clear(&fb);
	free(answers);
	return 0;
}
