/**
 * @file memory.c
 * Heap usage of each kind of a process's state for several numbers of entries.
 *
 * usage: memory
 */
#include "base/clock.h"
#include "codec/coap.h"
#include "decide/config.h"
#include "decide/hints.h"
#include "request/balancer.h"
#include "request/directory.h"
#include "request/permit.h"

#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static struct counters ctr;

static void
measure_members(unsigned count)
{
	struct member self = {.id = 1,
	    .incarnation = 1,
	    .seq = 1,
	    .role = MBR_BALANCER,
	    .phase = MBR_ACTIVE};
	size_t before = heap_bytes();
	struct mbr_table *t = mbr_new(&self, &ctr);

	for (unsigned i = 0; i < count; i++) {
		struct member m = self;

		m.id = 2 + i * 0x9e3779b97f4a7c15ULL;
		m.role = MBR_AGENT;
		m.service = 1 + i / 4;
		mbr_merge(t, &m, 1);
	}
	printf("bench: memory-members-%u %zu bytes\n", count,
	    heap_bytes() - before);
	mbr_free(t);
}

static void
measure_flows(unsigned count)
{
	size_t before = heap_bytes();
	struct directory *d = dir_new(65536, &ctr);

	for (unsigned i = 0; i < count; i++) {
		struct flow_key k = {i, 1};

		dir_add_flow(d, &k, 1);
		/*
		 * The agent also has as many flows as their home, and
		 * as the agent with the next rank.
		 */
		k.service = 2;
		dir_set_owner(d, &k, (struct owner){.id = 1});
		k.service = 3;
		dir_set_owner(d, &k, (struct owner){.id = 1});
	}
	printf(
	    "bench: memory-flows-%u %zu bytes\n", count, heap_bytes() - before);
	dir_free(d);
}

static void
measure_permits(unsigned count)
{
	struct rng rng;
	size_t before;
	struct permit_table *b;
	uint8_t permit[PERMIT_LEN];

	rng_init(&rng, 1);
	before = heap_bytes();
	b = permit_table_new(1, 1, &rng, count);
	for (unsigned i = 0; i < count; i++) {
		struct flow_key k = {i, 1};
		struct request r = {.kind = REQUEST_NON_IDEMPOTENT};
		struct permit_record *run = NULL;

		permit_issue(b, &k, &r, 1, permit);
		memcpy(r.permit, permit, PERMIT_LEN);
		if (permit_verify(b, &k, &r, &run) != PERMIT_VALID)
			abort();
		run->state = PERMIT_IN_USE;
		permit_mark_sent(run);
		permit_set_answer(
		    run, (struct str){(char *)permit, PERMIT_LEN});
	}
	printf(
	    "bench: memory-runs-%u %zu bytes\n", count, heap_bytes() - before);
	permit_table_free(b);
}

static void
measure_hints(unsigned count)
{
	size_t before = heap_bytes();
	struct hint_cache *c = hint_new(count);

	printf(
	    "bench: memory-hints-%u %zu bytes\n", count, heap_bytes() - before);
	hint_free(c);
}

static void
measure_services(unsigned count)
{
	char *text = mem_new((size_t)count * 128 + 1);
	size_t len = 0;
	size_t before;
	struct cfg c;

	for (unsigned i = 0; i < count; i++)
		len += (size_t)sprintf(text + len,
		    "service s%u\naddress 10.1.%u.%u:5683\nweigh flows\n"
		    "slots 4\ndeadline 8s\n",
		    i, i / 250, i % 250 + 1);
	before = heap_bytes();
	if (cfg_parse((struct str){text, len}, "memory", &c).code != STATUS_OK)
		abort();
	printf("bench: memory-services-%u %zu bytes (text %zu)\n", count,
	    heap_bytes() - before, len);
	cfg_clear(&c);
	free(text);
}

int
main(void)
{
	if (sodium_init() < 0)
		return 1;
	measure_members(615);
	measure_members(2460);
	measure_members(4920);
	measure_services(275);
	measure_services(1100);
	measure_hints(65536);
	measure_hints(262144);
	measure_flows(1300);
	measure_flows(5240);
	measure_flows(20000);
	measure_permits(1000);
	measure_permits(4000);
	return 0;
}
