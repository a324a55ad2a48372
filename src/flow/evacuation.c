#include "flow/evacuation.h"

#include "base/clock.h"

#include <string.h>
#include <xxhash.h>

/** Bits of a revision in a stamp. */
#define ERA_SHIFT 44
/** Messages a second in which a balancer tells agents and balancers, and the
 * most at once. With 720 balancers before 4,200 agents, each balancer tells 18
 * agents of a change. Some 140 bytes each make 3 KB/s of the 13 KB/s that a
 * process may send. */
#define TOLD_PER_S UINT64_C(20)
#define TOLD_BURST UINT64_C(40)
/** Shortest interval in which one agent is told, in ms, and how often it
 * doubles. */
#define REPEAT_MS 1000
#define REPEAT_DOUBLINGS_MAX 5
/** Outdated heartbeats after which balancers of other failure domains tell an
 * agent whose own domain has balancers. */
#define REMOTE_POSITION 3

uint64_t
evacuation_stamp(uint64_t era, uint64_t revision)
{
	return era << ERA_SHIFT | (revision & ((UINT64_C(1) << ERA_SHIFT) - 1));
}

bool
evacuation_contains(const struct evacuation *e, uint32_t domain_tag)
{
	for (uint32_t i = 0; i < e->count; i++) {
		if (e->domains[i] == domain_tag)
			return true;
	}
	return false;
}

bool
evacuation_is_set(
    const struct evacuation *e, const uint32_t *tags, uint32_t count)
{
	if (e->count != count)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		if (!evacuation_contains(e, tags[i]))
			return false;
	}
	return true;
}

/* Sort the tags, so that equal sets are sent as equal bytes. */
static void
adopt(struct evacuation *e, uint64_t revision, const uint32_t *tags,
    uint32_t count)
{
	e->revision = revision;
	if (e->confirmed < revision)
		e->confirmed = revision;
	e->count = 0;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = e->count;

		if (evacuation_contains(e, tags[i]))
			continue;
		for (; at > 0 && tags[i] < e->domains[at - 1]; at--)
			e->domains[at] = e->domains[at - 1];
		e->domains[at] = tags[i];
		e->count++;
	}
}

enum evacuation_change
evacuation_read(struct evacuation *e, uint64_t revision, const uint32_t *tags,
    uint32_t count)
{
	bool same = evacuation_is_set(e, tags, count);

	if (e->revision != 0 && same) {
		if (e->confirmed < revision)
			e->confirmed = revision;
		return EVACUATION_UNCHANGED;
	}
	if (revision <= e->confirmed)
		return EVACUATION_UNCHANGED;
	adopt(e, revision, tags, count);
	return same ? EVACUATION_REVISION : EVACUATION_SET;
}

enum evacuation_change
evacuation_merge(struct evacuation *e, uint64_t revision, const uint32_t *tags,
    uint32_t count)
{
	bool same = evacuation_is_set(e, tags, count);

	if (revision <= e->revision)
		return EVACUATION_UNCHANGED;
	if (!same && revision <= e->confirmed) {
		e->revision = e->confirmed;
		return EVACUATION_REASSERTED;
	}
	adopt(e, revision, tags, count);
	return same ? EVACUATION_REVISION : EVACUATION_SET;
}

enum evacuation_change
evacuation_on_agent(struct evacuation *e, uint64_t revision)
{
	if (revision <= e->revision || revision > e->confirmed)
		return EVACUATION_UNCHANGED;
	e->revision = e->confirmed;
	return EVACUATION_REASSERTED;
}

void
evacuation_write(const struct evacuation *e, struct msg_balancer *out)
{
	out->evacuation = e->revision;
	out->evacuated_count = e->count;
	memcpy(out->evacuated, e->domains, e->count * sizeof(e->domains[0]));
}

/* ---- which balancers tell an agent ---- */

static void
add_domain(struct evacuation_domains *d, uint32_t tag)
{
	for (uint32_t i = 0; i < d->count; i++) {
		if (d->tags[i] == tag)
			return;
	}
	if (tag != 0 && d->count < FLOW_EVACUATED_MAX)
		d->tags[d->count++] = tag;
}

void
evacuation_find_domains(const struct peers *p, struct evacuation_domains *out)
{
	struct peer *e, *next;

	out->count = 0;
	add_domain(out, p->domain_tag);
	HASH_ITER(hh, p->table, e, next)
	{
		if (!e->leaving)
			add_domain(out, e->domain_tag);
	}
}

static bool
has_domain(const struct evacuation_domains *d, uint32_t tag)
{
	for (uint32_t i = 0; i < d->count; i++) {
		if (d->tags[i] == tag)
			return true;
	}
	return false;
}

static uint64_t
rank_of(uint64_t agent, uint64_t balancer)
{
	return XXH3_64bits_withSeed(&balancer, sizeof(balancer), agent);
}

uint32_t
evacuation_position(const struct peers *p,
    const struct evacuation_domains *domains, uint64_t agent,
    uint32_t domain_tag)
{
	bool local = domain_tag == p->domain_tag;
	uint64_t own = rank_of(agent, p->self);
	uint32_t before = 0;
	struct peer *e, *next;

	HASH_ITER(hh, p->table, e, next)
	{
		if (!e->leaving && (!local || e->domain_tag == domain_tag) &&
		    rank_of(agent, e->id) < own)
			before++;
	}
	return 1 + before / EVACUATION_TELLERS +
	       (local || !has_domain(domains, domain_tag) ? 0
							  : REMOTE_POSITION);
}

bool
evacuation_take(struct evacuation_budget *b, uint64_t now)
{
	uint64_t passed = now - b->refilled_ns;

	if (passed > TOLD_BURST * NS_PER_S / TOLD_PER_S)
		passed = TOLD_BURST * NS_PER_S / TOLD_PER_S;
	b->tokens_milli += passed * TOLD_PER_S / NS_PER_MS;
	b->refilled_ns = now;
	if (b->tokens_milli > TOLD_BURST * 1000)
		b->tokens_milli = TOLD_BURST * 1000;
	if (b->tokens_milli < 1000)
		return false;
	b->tokens_milli -= 1000;
	return true;
}

bool
evacuation_may_repeat(uint32_t times, uint64_t told_ns, uint64_t now)
{
	uint32_t doublings =
	    times < REPEAT_DOUBLINGS_MAX ? times : REPEAT_DOUBLINGS_MAX;

	if (times == 0)
		return true;
	return now >=
	       told_ns + ((uint64_t)REPEAT_MS << (doublings - 1)) * NS_PER_MS;
}
