#include "flow/admission.h"

#include "base/clock.h"
#include "flow/decay.h"

#include <stdlib.h>

/** Routes without priority or target latency, and targets that do not report
 * their work: requests at a target for each of its slots, times 1000, from
 * which it gets no new flows. */
#define LOAD_MAX_MILLI 2500
/** A load that was reported longer ago than this, in ms, refuses no flow: the
 * answer to the flow's opening packet reports the present one. */
#define EVIDENCE_MAX_AGE_MS 1000
/** Nothing is refused while fewer of the slots are busy, in thousandths; a
 * requirement of the users. */
#define BUSY_MIN_MILLI 900
/** Part of the target latency, or of the timeout, that the expected time until
 * the answer may take, in percent. The rest is for the spread of work times and
 * for the network. */
#define BUDGET_PERCENT 75
/** Time in which a balancer's reports and decisions follow a change, in ms:
 * room is left for the higher priorities that come in it. */
#define REACTION_MS 100
/** Most room that is left for the spread of their number, in requests times
 * 1000. It is the same in failure domains with few and many of them, which
 * compete for the same targets. */
#define SPREAD_MAX_MILLI 3000
/** Least share of a priority in the flows admitted, in thousandths, unless less
 * than twice that share of the openings have it. */
#define SHARE_MIN_MILLI 100
/** Openings are counted over this half-life, in ms. */
#define COUNT_HALF_LIFE_MS 500
/** ln 2, times 1000: a steady rate's number is rate * half-life / ln 2. */
#define LN2_MILLI 693
/** For how long it is remembered that there is no room, in ms. */
#define CLOSED_MS 30

void
admissions_clear(struct admissions *a)
{
	struct admission_service *s, *next;

	HASH_ITER(hh, a->services, s, next)
	{
		HASH_DEL(a->services, s);
		free(s);
	}
}

static struct admission_service *
find_or_add(struct admissions *a, uint32_t service)
{
	struct admission_service *s;

	HASH_FIND(hh, a->services, &service, sizeof(service), s);
	if (s != NULL)
		return s;
	s = mem_new(sizeof(*s));
	s->service = service;
	HASH_ADD(hh, a->services, service, sizeof(s->service), s);
	return s;
}

static void
update_counts(struct admission_service *s, uint64_t now)
{
	for (size_t i = 0; i < ADMISSION_PRIORITIES; i++) {
		struct admission_class *c = &s->classes[i];
		uint64_t passed_ns = now - c->updated_ns;

		c->arrived_milli =
		    decay(c->arrived_milli, passed_ns, COUNT_HALF_LIFE_MS);
		c->admitted_milli =
		    decay(c->admitted_milli, passed_ns, COUNT_HALF_LIFE_MS);
		c->updated_ns = now;
	}
}

static uint64_t
square_root(uint64_t n)
{
	uint64_t root = 0;

	for (uint64_t bit = UINT64_C(1) << 31; bit > 0; bit >>= 1) {
		if ((root + bit) * (root + bit) <= n)
			root += bit;
	}
	return root;
}

/*
 * Requests of higher priority that are expected at a near target in the
 * reaction time, times 1000. This balancer's openings are a sample of those
 * that all balancers of its failure domain receive.
 */
static uint64_t
expected_milli(const struct admission_service *s, size_t class,
    const struct place_estimate *e)
{
	uint64_t arrived = 0;

	for (size_t i = 0; i < class; i++)
		arrived += s->classes[i].arrived_milli;
	return arrived * LN2_MILLI / 1000 * REACTION_MS / COUNT_HALF_LIFE_MS *
	       e->balancers / (e->near_targets > 0 ? e->near_targets : 1);
}

static uint64_t
above(uint64_t n, uint64_t limit)
{
	return n > limit ? n - limit : 0;
}

/*
 * Requests of higher priority for which room is left at a target, times 1000:
 * those that come in the reaction time beyond those that the target answers in
 * it, and a standard deviation. What exceeds the near targets goes to the
 * others. An agent that orders requests lets those of higher priority pass, so
 * that no room has to be left there for the deviation.
 */
static uint64_t
reserve_milli(const struct admission_service *s, size_t class,
    const struct place_estimate *e)
{
	uint64_t expected = expected_milli(s, class, e);
	uint64_t answered = e->slots * 1000 * REACTION_MS * 1000 /
			    (e->work_us > 0 ? e->work_us : 1);
	uint64_t excess = above(expected, answered);
	uint64_t spread = square_root(expected * 1000);

	if (!e->near)
		excess = above(excess * e->near_targets /
				   (e->far_targets > 0 ? e->far_targets : 1),
		    answered);
	if (e->ordered)
		spread = 0;
	return excess + (spread < SPREAD_MAX_MILLI ? spread : SPREAD_MAX_MILLI);
}

/* Time until the answer that a flow's caller can accept, in us. A target that
 * cannot answer in time even without a queue makes nobody late who could be
 * served in time, so there the timeout counts. */
static uint64_t
budget_us(const struct flow_route *route, const struct place_estimate *e)
{
	uint64_t latency_us =
	    route->latency_ms * UINT64_C(1000) * BUDGET_PERCENT / 100;
	uint64_t timeout_us =
	    route->timeout_ms * UINT64_C(1000) * BUDGET_PERCENT / 100;

	return e->work_us > latency_us && timeout_us > latency_us ? timeout_us
								  : latency_us;
}

/* Whether a request is answered in time behind those at the target and some
 * more, and not shed. */
static bool
has_room(const struct admission_request *req, uint64_t more_milli)
{
	const struct place_estimate *e = req->estimate;
	uint64_t before = e->requests_milli + more_milli;

	return before + 1000 <= (e->slots + PLACE_TARGET_QUEUE) * 1000 &&
	       e->work_us + place_wait_us(e->work_us, before, e->slots) <=
		   budget_us(req->route, e);
}

/* Whether a priority has had less than its least share of the admitted flows.
 */
static bool
is_below_share(const struct admission_service *s, size_t class)
{
	uint64_t arrived = 0;
	uint64_t admitted = 0;
	uint64_t share_milli;

	for (size_t i = 0; i < ADMISSION_PRIORITIES; i++) {
		arrived += s->classes[i].arrived_milli;
		admitted += s->classes[i].admitted_milli;
	}
	if (arrived == 0)
		return true;
	share_milli = s->classes[class].arrived_milli * 500 / arrived;
	if (share_milli > SHARE_MIN_MILLI)
		share_milli = SHARE_MIN_MILLI;
	return s->classes[class].admitted_milli * 1000 <=
	       admitted * share_milli;
}

static enum admission
decide(const struct admission_service *s, size_t class,
    const struct admission_request *req)
{
	bool fits = has_room(req, 0);

	if (req->estimate->busy_milli < BUSY_MIN_MILLI)
		return ADMISSION_ADMITTED;
	if (fits && (has_room(req, reserve_milli(s, class, req->estimate)) ||
			is_below_share(s, class)))
		return ADMISSION_ADMITTED;
	return fits ? ADMISSION_RESERVED : ADMISSION_NO_ROOM;
}

/* Without priority, target latency or work times, flows are admitted by the
 * number of requests. */
static bool
is_time_known(const struct admission_request *req)
{
	return req->route->priority >= 0 && req->route->latency_ms > 0 &&
	       req->estimate->work_known;
}

static size_t
class_of(const struct flow_route *route)
{
	return route->priority < 0 || route->priority >= ADMISSION_PRIORITIES
		   ? ADMISSION_PRIORITIES - 1
		   : (size_t)route->priority;
}

enum admission
admission_decide(
    struct admissions *a, const struct admission_request *req, uint64_t now)
{
	struct admission_service *s = find_or_add(a, req->service);
	size_t class = class_of(req->route);
	enum admission outcome = ADMISSION_ADMITTED;

	update_counts(s, now);
	if (now > req->best->load_ns + EVIDENCE_MAX_AGE_MS * NS_PER_MS)
		return outcome;
	if (is_time_known(req))
		outcome = decide(s, class, req);
	else if (req->estimate->requests_milli >=
		 LOAD_MAX_MILLI * req->estimate->slots)
		outcome = ADMISSION_NO_ROOM;
	return outcome;
}

bool
admission_record(struct admissions *a, uint32_t service,
    const struct flow_route *route, bool admitted, uint64_t now)
{
	struct admission_service *s = find_or_add(a, service);
	struct admission_class *c = &s->classes[class_of(route)];
	bool first;

	update_counts(s, now);
	if (admitted) {
		c->admitted_milli += 1000;
		c->arrived_milli += 1000;
		return false;
	}
	first = s->refused_ns == 0 ||
		now > s->refused_ns + ADMISSION_CALM_MS * NS_PER_MS;
	s->refused_ns = now;
	if (now >= c->closed_until_ns) {
		c->arrived_milli += 1000;
		c->closed_until_ns = now + CLOSED_MS * NS_PER_MS;
	}
	return first;
}
