#include "flow/domain_share.h"

#include "base/clock.h"
#include "base/event.h"
#include "base/str.h"
#include "flow/domain_load.h"
#include "flow/packet.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Round trip between domains until it is measured, in us: those of the
 * deployments in service are 2.8 to 7.8 ms. */
#define DEFAULT_DELAY_US 5000
/** The delay is the least of two windows of this length, in ms, so that waits
 * at an agent do not count and a change is seen. */
#define DELAY_WINDOW_MS 10000
/** KiB and round trips of a request. Downloads in service have 20 to 80 kB, 48
 * on average; with 16 packets of 1,200 B in flight, 48 KiB need three round
 * trips. */
#define LIGHT_KIB 1
#define HEAVY_KIB 48
#define HEAVY_EXCHANGES 3

/** Target latency of a route that states none, in us. */
#define DEFAULT_LATENCY_US 250000

/** Requests per slot, times 1000, with those that left. Below the first, about
 * nine tenths of the slots are busy: the near targets have room and nothing
 * begins to leave. What leaves ends below the second. */
#define BEGIN_MILLI 1100
#define END_MILLI 900
/** Requests per slot that stay near, times 1000: shorter waits are worth
 * nothing to a caller whose answer is in time. */
#define STAY_MILLI 1000
/** Most requests per slot, times 1000, of which a cost is expected: a longer
 * queue is a backlog, which does not last. */
#define LOAD_MAX_MILLI 2000
/** Requests per slot up to which another domain takes flows, times 1000. What
 * is left is for its own callers. */
#define ROOM_MILLI 950

/** Interval of the decisions, in ms. */
#define UPDATE_MS 200
/** Longest time that one decision accounts for, in ms. */
#define UPDATE_MAX_MS 1000
/** A balancer sends nothing away in this time after its start, in ms: it has
 * heard only some of the agents. */
#define STARTING_MS 3000
/** Time constant of the shares and their greatest change in a second: slower
 * than reports, which lag by 1 to 2 s, so that the shares do not overshoot. */
#define SHARE_TAU_MS 2000
#define SHARE_SLEW_PER_S 150000
/** Time constant with which reports follow the shares, in ms: agents smooth
 * their load over 1 s and report about once a second. */
#define REPORT_TAU_MS 1500
/** Time constant of the counts of flows, in ms, and the number of flows that
 * the mean target latency covers. */
#define FLOWS_TAU_MS 10000
/** Recent flows, times 1000, below which a service is forgotten. */
#define FLOWS_MIN_MILLI 100
#define LATENCY_FLOWS 32
/** Percentage of a wanted share that is taken. Reports determine the sum of the
 * balancers' shares, not each of them: with less than all, shares that differ,
 * as after a restart, become about equal in two minutes. */
#define WANTED_PERCENT 92
/** Shares below this are not applied. */
#define SHARE_MIN 20000
/** At most this share is assumed to have left, since the demand is the near
 * load divided by the rest. */
#define LEFT_MAX 900000
/** Parts of the demand that are distributed at a time: large ones first. */
#define CHUNK_LARGE 20000
#define CHUNK_SMALL 1000
/** Log a change of this much, and at most one line in this time, in ms. */
#define LOG_CHANGE 100000
#define LOG_INTERVAL_MS 1000

void
domain_share_init(struct domain_share *s, uint32_t own_tag,
    uint32_t byte_price_us, uint64_t now)
{
	*s = (struct domain_share){.own_tag = own_tag,
	    .byte_price_us = byte_price_us,
	    .started_ns = now};
}

void
domain_share_clear(struct domain_share *s)
{
	struct service_share *e, *next;

	HASH_ITER(hh, s->services, e, next)
	{
		HASH_DEL(s->services, e);
		free(e);
	}
}

/* ---- cost of leaving ---- */

static struct domain_delay *
find_delay(struct domain_share *s, uint32_t tag)
{
	if (tag == s->own_tag)
		return &s->own;
	for (size_t i = 0; i < s->delay_count; i++) {
		if (s->delays[i].tag == tag)
			return &s->delays[i];
	}
	if (s->delay_count == DOMAIN_LOAD_MAX)
		return NULL;
	s->delays[s->delay_count].tag = tag;
	return &s->delays[s->delay_count++];
}

void
domain_share_record_accepted(
    struct domain_share *s, uint32_t tag, uint64_t took_ns, uint64_t now)
{
	struct domain_delay *d = find_delay(s, tag);
	uint32_t us = took_ns / NS_PER_US < UINT32_MAX
			  ? (uint32_t)(took_ns / NS_PER_US)
			  : UINT32_MAX;

	if (d == NULL)
		return;
	if (d->window_ns == 0) {
		d->window_ns = now;
		d->min_us = d->previous_us = us;
	} else if (now >= d->window_ns + DELAY_WINDOW_MS * NS_PER_MS) {
		d->window_ns = now;
		d->previous_us = d->min_us;
		d->min_us = us;
	} else if (us < d->min_us) {
		d->min_us = us;
	}
}

static uint32_t
least_us(const struct domain_delay *d)
{
	return d->min_us < d->previous_us ? d->min_us : d->previous_us;
}

uint64_t
domain_share_delay_us(const struct domain_share *s, uint32_t tag)
{
	const struct domain_delay *d = NULL;

	for (size_t i = 0; i < s->delay_count; i++) {
		if (s->delays[i].tag == tag)
			d = &s->delays[i];
	}
	if (d == NULL || d->window_ns == 0 || s->own.window_ns == 0)
		return DEFAULT_DELAY_US;
	return least_us(d) > least_us(&s->own) ? least_us(d) - least_us(&s->own)
					       : 0;
}

static uint64_t
leaving_cost_us(
    const struct domain_share *s, uint32_t tag, enum flow_class class)
{
	uint64_t delay_us = domain_share_delay_us(s, tag);

	return class == FLOW_CLASS_HEAVY
		   ? delay_us * HEAVY_EXCHANGES +
			 (uint64_t)s->byte_price_us * HEAVY_KIB
		   : delay_us + (uint64_t)s->byte_price_us * LIGHT_KIB;
}

static enum flow_class
class_of(enum request_kind kind)
{
	return kind == REQUEST_DOWNLOAD ? FLOW_CLASS_HEAVY : FLOW_CLASS_LIGHT;
}

uint64_t
domain_share_cost_us(
    const struct domain_share *s, uint32_t tag, enum request_kind kind)
{
	return tag == s->own_tag ? 0 : leaving_cost_us(s, tag, class_of(kind));
}

/* ---- the wanted shares ---- */

static uint64_t
part_of(uint64_t n, uint64_t share)
{
	return n * share / DOMAIN_SHARE_WHOLE;
}

/* Part of the flows that are of a class, in millionths. */
static uint64_t
class_part(const struct service_share *e, enum flow_class class)
{
	uint64_t all = (uint64_t)e->flows_milli[FLOW_CLASS_LIGHT] +
		       e->flows_milli[FLOW_CLASS_HEAVY];

	return all == 0
		   ? (class == FLOW_CLASS_LIGHT ? DOMAIN_SHARE_WHOLE : 0)
		   : (uint64_t)e->flows_milli[class] * DOMAIN_SHARE_WHOLE / all;
}

/* Share of all flows, from the shares of the classes. */
static uint64_t
of_all(const struct service_share *e, const uint32_t shares[FLOW_CLASSES])
{
	uint64_t sum = 0;

	for (int c = 0; c < FLOW_CLASSES; c++)
		sum += part_of(class_part(e, c), shares[c]);
	return sum;
}

static struct domain_part *
find_part(struct service_share *e, const struct domain_load *d)
{
	struct domain_part *p;

	for (size_t i = 0; i < e->count; i++) {
		if (e->parts[i].tag == d->tag)
			return &e->parts[i];
	}
	if (e->count == DOMAIN_LOAD_MAX)
		return NULL;
	p = &e->parts[e->count++];
	*p = (struct domain_part){.tag = d->tag};
	str_copy(p->name, sizeof(p->name), str_of(d->name));
	return p;
}

/** A domain that may take flows, while the demand is distributed. */
struct taker {
	const struct domain_load *load;
	struct domain_part *part;
	uint64_t taken_milli; /**< requests there with those it takes */
	uint64_t max_milli;
	uint64_t taken[FLOW_CLASSES]; /**< parts of the demand */
};

/* Domains that lack room themselves and look for it in the same place. */
static uint64_t
count_competing(const struct domain_loads *l, const struct domain_load *taker)
{
	uint64_t n = 1;

	for (size_t i = 0; i < l->count; i++) {
		const struct domain_load *d = &l->remote[i];

		if (d != taker && d->slots_milli > 0 &&
		    d->load_milli * 1000 >= d->slots_milli * BEGIN_MILLI)
			n++;
	}
	return n;
}

/*
 * What a domain may take: what this domain's flows have there already, and a
 * part of its room. When it has less than none, they give way.
 */
static void
init_taker(struct taker *t, const struct domain_loads *l,
    const struct domain_load *d, uint64_t own_milli)
{
	uint64_t room_milli = d->slots_milli * ROOM_MILLI / 1000;

	if (own_milli > d->load_milli)
		own_milli = d->load_milli;
	t->load = d;
	t->taken_milli = d->load_milli - own_milli;
	if (room_milli >= d->load_milli)
		t->max_milli = d->load_milli + (room_milli - d->load_milli) /
						   count_competing(l, d);
	else
		t->max_milli = room_milli;
}

static struct taker *
find_cheapest(const struct domain_share *s, const struct service_share *e,
    struct taker *takers, size_t count, uint64_t chunk_milli,
    enum flow_class class, uint64_t *cost_us)
{
	struct taker *best = NULL;

	for (size_t i = 0; i < count; i++) {
		struct taker *t = &takers[i];
		uint64_t cost;

		if (t->taken_milli + chunk_milli > t->max_milli)
			continue;
		cost = leaving_cost_us(s, t->load->tag, class) +
		       dl_cost_us(t->load, t->taken_milli + chunk_milli,
			   e->latency_us[class]);
		if (best != NULL && cost >= *cost_us)
			continue;
		best = t;
		*cost_us = cost;
	}
	return best;
}

/** Requests that the near targets would have if no flow left, times 1000. */
struct demand {
	uint64_t near_milli;   /**< with those that wait */
	uint64_t served_milli; /**< those in slots: the ones that other domains
				  would serve */
};

/* Targets that fail their requests keep none. */
static bool
exceeds_stay(const struct domain_load *near, uint64_t near_milli)
{
	return near->failing_cost > 0 ||
	       near_milli * 1000 > near->slots_milli * STAY_MILLI;
}

/* Moves chunks of a class to the cheapest domain as long as that costs less
 * than to stay. @return the part of the demand that has moved, in all */
static uint64_t
move_chunks(const struct domain_share *s, const struct service_share *e,
    const struct domain_load *near, const struct demand *demand,
    struct taker *takers, size_t count, enum flow_class class, uint64_t moved,
    uint64_t end, uint64_t chunk)
{
	for (; moved + chunk <= end; moved += chunk) {
		uint64_t near_milli = part_of(
		    demand->near_milli, DOMAIN_SHARE_WHOLE - moved - chunk);
		uint64_t cost_us = 0;
		struct taker *t;

		if (!exceeds_stay(near, near_milli))
			break;
		t = find_cheapest(s, e, takers, count,
		    part_of(demand->served_milli, chunk), class, &cost_us);
		if (t == NULL || dl_cost_us(near, near_milli,
				     e->latency_us[class]) <= cost_us)
			break;
		t->taken_milli += part_of(demand->served_milli, chunk);
		t->taken[class] += chunk;
	}
	return moved;
}

/* Distributes a demand. Heavy flows leave only when all light ones do. */
static void
distribute(const struct domain_share *s, const struct service_share *e,
    const struct domain_load *near, const struct demand *demand,
    struct taker *takers, size_t count)
{
	uint64_t moved = 0;
	uint64_t end = 0;

	for (int c = 0; c < FLOW_CLASSES; c++) {
		uint64_t whole = class_part(e, c);

		end += whole;
		moved = move_chunks(s, e, near, demand, takers, count, c, moved,
		    end, CHUNK_LARGE);
		moved = move_chunks(s, e, near, demand, takers, count, c, moved,
		    end, CHUNK_SMALL);
		for (size_t i = 0; whole > 0 && i < count; i++)
			takers[i].part->wanted[c] =
			    (uint32_t)(takers[i].taken[c] * DOMAIN_SHARE_WHOLE /
				       whole * WANTED_PERCENT / 100);
		if (moved + CHUNK_SMALL <= end)
			return;
	}
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Flows that left are derived from the shares at the time that the reports
 * show, which are about the same at all balancers of the domain.
 */
static struct demand
measure_demand(const struct service_share *e, const struct domain_load *near)
{
	uint64_t load_milli = min_u64(
	    near->load_milli, near->slots_milli * LOAD_MAX_MILLI / 1000);
	uint64_t left = 0;
	uint64_t stays;

	for (size_t i = 0; i < e->count; i++)
		left += of_all(e, e->parts[i].reported);
	stays = DOMAIN_SHARE_WHOLE - min_u64(left, LEFT_MAX);
	return (struct demand){
	    .near_milli = load_milli * DOMAIN_SHARE_WHOLE / stays,
	    .served_milli = min_u64(load_milli, near->slots_milli) *
			    DOMAIN_SHARE_WHOLE / stays};
}

static bool
lacks_room(const struct service_share *e, const struct domain_load *near,
    const struct demand *demand)
{
	uint64_t bound = e->leaving ? END_MILLI : BEGIN_MILLI;

	return near->slots_milli > 0 &&
	       (demand->near_milli * 1000 >= near->slots_milli * bound ||
		   near->failing_cost > 0);
}

static void
update_wanted(const struct domain_share *s, struct service_share *e,
    struct domain_loads *l)
{
	struct taker takers[DOMAIN_LOAD_MAX] = {0};
	size_t count = 0;
	struct demand demand = measure_demand(e, &l->near);

	for (size_t i = 0; i < e->count; i++) {
		struct domain_part *p = &e->parts[i];

		for (int c = 0; c < FLOW_CLASSES; c++)
			p->wanted[c] =
			    dl_is_fresh(&l->near) || l->near.stale_milli == 0
				? 0
				: p->share[c];
	}
	if (!dl_is_fresh(&l->near) || !lacks_room(e, &l->near, &demand))
		return;
	for (size_t i = 0; i < l->count; i++) {
		const struct domain_load *d = &l->remote[i];
		struct domain_part *p = dl_is_fresh(d) ? find_part(e, d) : NULL;

		if (p == NULL)
			continue;
		init_taker(&takers[count], l, d,
		    part_of(demand.served_milli, of_all(e, p->reported)));
		takers[count++].part = p;
	}
	distribute(s, e, &l->near, &demand, takers, count);
}

/* ---- the shares ---- */

static uint32_t
approach(uint32_t from, uint32_t to, uint64_t ms, uint64_t tau_ms)
{
	int64_t diff = (int64_t)to - from;

	return (uint32_t)(from + diff * (int64_t)ms / (int64_t)(tau_ms + ms));
}

static uint32_t
next_share(uint32_t share, uint32_t wanted, uint64_t ms)
{
	int64_t most = (int64_t)(SHARE_SLEW_PER_S * ms / 1000);
	int64_t step =
	    (int64_t)approach(share, wanted, ms, SHARE_TAU_MS) - share;

	if (wanted == 0 && share < SHARE_MIN)
		return 0;
	step = step > most ? most : step;
	step = step < -most ? -most : step;
	return (uint32_t)(share + step);
}

static void
log_share(const struct domain_share *s, const struct service_share *e,
    const struct domain_loads *l, struct domain_part *p, uint64_t now)
{
	const struct domain_load *d = dl_find_remote(l, p->tag);
	uint32_t share = (uint32_t)of_all(e, p->share);
	uint32_t change =
	    share > p->logged ? share - p->logged : p->logged - share;
	bool begins = p->logged == 0 && share >= SHARE_MIN;
	bool ends = p->logged != 0 && share == 0;

	if ((!begins && !ends && change < LOG_CHANGE) ||
	    (p->logged_ns != 0 &&
		now < p->logged_ns + LOG_INTERVAL_MS * NS_PER_MS))
		return;
	event("domain_share", "s:I, s:s, s:s, s:i, s:i, s:i, s:i", "service",
	    (json_int_t)e->service, "domain", p->name, "change",
	    begins ? "begins"
	    : ends ? "ends"
		   : "changes",
	    "share_milli", (int)(share / 1000), "near_wait_us",
	    (int)dl_wait_us(&l->near, l->near.load_milli), "remote_wait_us",
	    d == NULL ? -1 : (int)dl_wait_us(d, d->load_milli), "delay_us",
	    (int)domain_share_delay_us(s, p->tag));
	p->logged = share;
	p->logged_ns = now;
}

static void
update(struct domain_share *s, struct service_share *e,
    const struct agent_group *g, const struct evacuation *evacuated,
    uint64_t now)
{
	uint64_t ms = (now - e->updated_ns) / NS_PER_MS;
	struct domain_loads l;
	bool leaving = false;

	ms = ms < UPDATE_MAX_MS ? ms : UPDATE_MAX_MS;
	e->updated_ns = now;
	dl_measure(&l, s->own_tag, g, evacuated, now);
	update_wanted(s, e, &l);
	for (size_t i = 0; i < e->count; i++) {
		struct domain_part *p = &e->parts[i];
		const struct domain_load *d = dl_find_remote(&l, p->tag);
		/* Without reports from near, too, it is this process that hears
		 * nothing: the shares stay until the agents are silent. */
		bool usable =
		    d != NULL && (dl_is_fresh(d) || !dl_is_fresh(&l.near));

		for (int c = 0; c < FLOW_CLASSES; c++) {
			p->share[c] =
			    usable ? next_share(p->share[c], p->wanted[c], ms)
				   : 0;
			p->reported[c] = approach(
			    p->reported[c], p->share[c], ms, REPORT_TAU_MS);
			leaving |= p->share[c] > 0;
		}
		log_share(s, e, &l, p, now);
	}
	e->leaving = leaving;
	for (int c = 0; c < FLOW_CLASSES; c++)
		e->flows_milli[c] =
		    approach(e->flows_milli[c], 0, ms, FLOWS_TAU_MS);
}

/* Whether a service has no flows, no share, and no line to be logged. */
static bool
is_unused(const struct service_share *e)
{
	bool unused = !e->leaving;

	for (int c = 0; c < FLOW_CLASSES; c++)
		unused &= e->flows_milli[c] < FLOWS_MIN_MILLI;
	for (size_t i = 0; i < e->count; i++)
		unused &= e->parts[i].logged == 0;
	return unused;
}

void
domain_share_tick(struct domain_share *s, const struct agents *agents,
    const struct evacuation *evacuated, uint64_t now)
{
	struct service_share *e, *next;

	if (now < s->started_ns + STARTING_MS * NS_PER_MS)
		return;
	HASH_ITER(hh, s->services, e, next)
	{
		if (now < e->updated_ns + UPDATE_MS * NS_PER_MS)
			continue;
		update(s, e, agents_find_group(agents, e->service), evacuated,
		    now);
		if (is_unused(e)) {
			HASH_DEL(s->services, e);
			free(e);
		}
	}
}

/* ---- flows ---- */

static struct service_share *
find_service(const struct domain_share *s, uint32_t service)
{
	struct service_share *e;

	HASH_FIND(hh, s->services, &service, sizeof(service), e);
	return e;
}

void
domain_share_record_flow(
    struct domain_share *s, uint32_t service, const struct flow_route *route)
{
	struct service_share *e = find_service(s, service);
	enum flow_class class = class_of(route->kind);
	uint32_t latency_us = route->latency_ms == 0 ? DEFAULT_LATENCY_US
						     : route->latency_ms * 1000;

	if (e == NULL) {
		e = mem_new(sizeof(*e));
		e->service = service;
		HASH_ADD(hh, s->services, service, sizeof(e->service), e);
	}
	if (e->flows_milli[class] < UINT32_MAX - 1000)
		e->flows_milli[class] += 1000;
	if (e->latency_us[class] == 0)
		e->latency_us[class] = latency_us;
	e->latency_us[class] =
	    (uint32_t)((e->latency_us[class] * UINT64_C(31) + latency_us) /
		       LATENCY_FLOWS);
}

uint32_t
domain_share_pick(const struct domain_share *s, uint32_t service,
    enum request_kind kind, uint64_t flow)
{
	const struct service_share *e = find_service(s, service);
	enum flow_class class = class_of(kind);
	uint64_t hash = XXH3_64bits_withSeed(&flow, sizeof(flow), service);
	uint64_t at = hash % DOMAIN_SHARE_WHOLE;
	uint64_t sum = 0;

	for (size_t i = 0; e != NULL && i < e->count; i++) {
		uint32_t share = e->parts[i].share[class];

		sum += share < SHARE_MIN ? 0 : share;
		if (at < sum)
			return e->parts[i].tag;
	}
	return 0;
}
