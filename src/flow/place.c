#include "flow/place.h"

#include "base/clock.h"
#include "flow/decay.h"
#include "flow/failure_rate.h"
#include "flow/request_queue.h"
#include "flow/work_time.h"

#include <string.h>
#include <xxhash.h>

/** Assumed load of a flow when the service has no flows to measure, in
 * thousandths of a request: one request of 30 ms each second. */
#define DEFAULT_FLOW_LOAD_MILLI 30
/** Assumed work of a request while no target of the service reports its work
 * time, in us; as above. */
#define DEFAULT_WORK_US 30000
/** Samples of the service's mean that are added to those of one target: a few
 * samples are noisy because some requests take several times as long. */
#define PRIOR_SAMPLES 8
/** Costs in thousandths of the service's mean work. */
#define COST_UNIT 1000
/** Percentage by which a cold target is expected to be slower, and a cost for
 * it that remains when nothing waits there. */
#define COLD_PERCENT 160
#define COLD_COST_MILLI 30
/** A load is stale when the heartbeat is older than this many periods. */
#define STALE_PERIODS 2
/** Cost added for a stale load. */
#define STALE_COST_MILLI 500

/** A new flow brings its first request at once, which load reports show only
 * later. Requests of flows placed just now are counted until then; their number
 * halves in this time, in ms. */
#define ARRIVING_HALF_LIFE_MS 100
/** The same for the requests that a report includes on average: agents smooth
 * their load over 1 s. */
#define INCLUDED_HALF_LIFE_MS 700

/** Factor from a target's failure rate to its added cost. A target that fails a
 * quarter of its requests costs the mean work more, because each failure costs
 * its caller a retry, or the request. */
#define FAILING_COST_FACTOR 4

/** Most candidates that are compared: those of this many failure domains. */
#define CANDIDATES_MAX (16 * (size_t)PLACE_CANDIDATES)

/** Near agents that are tried before those of other failure domains: two that
 * refused show a shortage that reports do not show yet. */
#define NEAR_TRIES 2

static bool
was_tried(const struct place_request *req, uint64_t id)
{
	for (size_t i = 0; i < req->tried_count; i++) {
		if (req->tried[i] == id)
			return true;
	}
	return false;
}

static bool
accepts_flows(const struct agent_view *v, uint64_t now)
{
	return v->heartbeat.state == TARGET_READY && !agent_is_silent(v, now);
}

static bool
is_evacuated(const struct place_request *req, const struct agent_view *v)
{
	return (req->evacuated != NULL &&
		   evacuation_contains(req->evacuated, v->domain_tag)) ||
	       (req->refusing_domain != 0 &&
		   req->refusing_domain == v->domain_tag);
}

/* Whether a target is cold, and its agent is expected to refuse the flow. */
static bool
is_limited(const struct place_request *req, const struct agent_view *v)
{
	return req->limits_cold && req->now < v->cold_until_ns &&
	       (req->avoid_cold || req->now < v->cold_next_ns);
}

static bool
is_work_known(const struct agent_view *v)
{
	return v->heartbeat.work_us > 0 &&
	       v->heartbeat.work_samples >= WORK_SAMPLES_MIN;
}

static bool
is_near(const struct place_means *m, const struct agent_view *v)
{
	return v->domain_tag == m->domain;
}

struct place_means
place_measure(const struct agent_group *g, const char *domain, uint64_t now)
{
	struct place_means m = {
	    .flow_milli = DEFAULT_FLOW_LOAD_MILLI,
	    .work_us = DEFAULT_WORK_US,
	    .balancers = 1,
	    .domain = flow_service_tag(str_of(domain)),
	};
	uint64_t busy = 0;
	uint64_t flows = 0;
	uint64_t work_us = 0;
	uint64_t samples = 0;

	for (size_t i = 0; i < g->count; i++) {
		const struct msg_agent *hb = &g->members[i]->heartbeat;

		if (agent_is_silent(g->members[i], now))
			continue;
		busy += hb->busy_milli;
		flows += hb->flows;
		if (hb->state == TARGET_READY && !is_near(&m, g->members[i]))
			m.far_targets++;
		else if (hb->state == TARGET_READY)
			m.near_targets++;
		if (!is_work_known(g->members[i]))
			continue;
		work_us += (uint64_t)hb->work_us * hb->work_samples;
		samples += hb->work_samples;
	}
	if (flows > 0) {
		m.flow_milli = busy / flows > 0 ? busy / flows : 1;
		m.flow_milli = m.flow_milli < 1000 ? m.flow_milli : 1000;
	}
	if (samples > 0)
		m.work_us = work_us / samples;
	return m;
}

static uint64_t
arriving_at(const struct agent_view *v, uint64_t now)
{
	return decay(
	    v->arriving_milli, now - v->arriving_ns, ARRIVING_HALF_LIFE_MS);
}

static uint64_t
included_at(const struct agent_view *v, uint64_t now)
{
	return decay(
	    v->included_milli, now - v->arriving_ns, INCLUDED_HALF_LIFE_MS);
}

/*
 * Requests that are on their way to a target beyond those that reports include,
 * times 1000; negative after fewer than usual. The other balancers of the
 * failure domain decide on the same reports, so each of them is expected to
 * have placed as many as this one. Otherwise all of them would choose the same
 * targets until the next report.
 */
static int64_t
unreported_milli(
    const struct agent_view *v, const struct place_means *m, uint64_t now)
{
	int64_t usual = (int64_t)(included_at(v, now) * ARRIVING_HALF_LIFE_MS /
				  INCLUDED_HALF_LIFE_MS);

	return ((int64_t)arriving_at(v, now) - usual) * m->balancers;
}

void
place_record(struct agent_view *v, uint64_t now)
{
	v->placed++;
	v->included_milli = included_at(v, now) + 1000;
	v->arriving_milli = arriving_at(v, now) + 1000;
	v->arriving_ns = now;
}

void
place_record_cold(struct agent_view *v, uint64_t interval_ns, uint64_t now)
{
	if (interval_ns != 0)
		v->cold_next_ns = now + interval_ns;
}

/* Part of the mean work, in us. */
static uint64_t
milli_work(const struct place_means *m, uint64_t milli)
{
	return m->work_us * milli / COST_UNIT;
}

static bool
is_cold(const struct agent_view *v, uint64_t now)
{
	return now < v->cold_until_ns;
}

/* Work of a request at a target, in us. Few samples count less than many. */
static uint64_t
work_us_at(
    const struct agent_view *v, const struct place_means *m, uint64_t now)
{
	uint64_t prior_us =
	    is_cold(v, now) ? m->work_us * COLD_PERCENT / 100 : m->work_us;
	uint64_t samples = v->heartbeat.work_samples;

	return (v->heartbeat.work_us * samples + prior_us * PRIOR_SAMPLES) /
	       (samples + PRIOR_SAMPLES);
}

/*
 * Load of one flow at a target with another work time than the mean, in
 * thousandths of a request. Only the time between its requests is the same.
 */
static uint64_t
flow_load_at(uint64_t work_us, const struct place_means *m)
{
	uint64_t busy = work_us * m->flow_milli;
	uint64_t idle = m->work_us * (1000 - m->flow_milli);

	return busy + idle == 0 ? 0 : busy * 1000 / (busy + idle);
}

/*
 * Requests at a target whose agent holds some back, times 1000: it does so only
 * while all slots are busy. The measured load includes those held, but lags;
 * the number held is of one moment, and a burst would refuse flows until the
 * next report. Each counts half.
 */
static uint64_t
held_milli(const struct agent_view *v)
{
	uint64_t slots_milli = v->heartbeat.slots * UINT64_C(1000);
	uint64_t measured = v->heartbeat.busy_milli;

	if (v->heartbeat.queued == 0)
		return 0;
	if (measured < slots_milli)
		measured = slots_milli;
	return (measured + slots_milli + v->heartbeat.queued * UINT64_C(1000)) /
	       2;
}

/*
 * Requests before a new one at a target, times 1000. The measured load is noisy
 * and lags, and the expected load of its flows does not show that a target is
 * slow, so each counts half.
 */
static uint64_t
requests_milli(const struct agent_view *v, const struct place_means *m,
    uint64_t flow_milli, uint64_t now)
{
	uint64_t flows = (uint64_t)v->heartbeat.flows + v->placed;
	uint64_t measured = v->heartbeat.busy_milli + v->placed * flow_milli;
	uint64_t reported = (measured + flows * flow_milli) / 2;
	uint64_t held = held_milli(v);
	int64_t requests = (int64_t)(reported > held ? reported : held) +
			   unreported_milli(v, m, now);

	return requests > 0 ? (uint64_t)requests : 0;
}

/*
 * Of the requests at a target, those of lower priority than a new one that its
 * agent holds back when the new one comes, times 1000. Those that the agent has
 * passed to the target stay before it: the slots and the margin. Requests of
 * unknown priority count as those of the lowest that is reported.
 */
static uint64_t
yielding_milli(
    const struct agent_view *v, int priority, uint64_t requests_milli)
{
	const struct priority_load *load = &v->heartbeat.by_priority;
	uint64_t passed = rq_hold_limit(v->heartbeat.slots) * UINT64_C(1000);
	uint64_t beyond = requests_milli > passed ? requests_milli - passed : 0;
	uint64_t before = 0;
	uint64_t lower;

	if (priority < 0 || (uint32_t)priority + 1 >= load->count ||
	    v->heartbeat.slots == 0)
		return 0;
	for (uint32_t i = 0; i <= (uint32_t)priority; i++)
		before += load->requests[i] * UINT64_C(1000);
	lower = v->heartbeat.busy_milli > before
		    ? v->heartbeat.busy_milli - before
		    : 0;
	return lower < beyond ? lower : beyond;
}

/*
 * With r requests for each slot, the wait is work * r^2 / (1 + r): close to the
 * queue's share of the work when the slots are full, and below that the chance
 * that they are, because a report gives a mean and the requests come at random.
 */
uint64_t
place_wait_us(uint64_t work_us, uint64_t requests_milli, uint64_t slots)
{
	uint64_t load = requests_milli / slots;

	return work_us * load / 1000 * load / (1000 + load);
}

/*
 * A target whose work is unknown is expected to work for the mean, and to wait
 * as long for each request at a slot.
 */
static struct place_estimate
estimate_at(const struct agent_view *v, const struct place_means *m,
    int priority, uint64_t now)
{
	bool known = is_work_known(v);
	struct place_estimate e = {.work_known = known,
	    .work_us = known ? work_us_at(v, m, now) : m->work_us};
	uint64_t flow_milli =
	    known ? flow_load_at(e.work_us, m) : m->flow_milli;
	uint64_t load;

	e.slots = v->heartbeat.slots == 0 ? 1 : v->heartbeat.slots;
	e.balancers = m->balancers;
	e.near_targets = m->near_targets;
	e.far_targets = m->far_targets;
	e.near = is_near(m, v);
	e.requests_milli = requests_milli(v, m, flow_milli, now);
	e.yielding_milli = yielding_milli(v, priority, e.requests_milli);
	e.requests_milli -= e.yielding_milli;
	e.ordered =
	    v->heartbeat.by_priority.count > 0 && v->heartbeat.slots > 0;
	load = e.requests_milli / e.slots;
	if (!known && is_cold(v, now))
		load = load * COLD_PERCENT / 100;
	e.wait_us = known ? place_wait_us(e.work_us, e.requests_milli, e.slots)
			  : milli_work(m, load);
	return e;
}

static bool
is_stale(const struct agent_view *v, uint64_t now)
{
	return now > v->last_heartbeat_ns +
			 (uint64_t)STALE_PERIODS * v->heartbeat.period_ms *
			     NS_PER_MS +
			 AGENT_HEARTBEAT_GRACE_MS * NS_PER_MS;
}

/*
 * Cost of giving an agent one more flow, in us: the expected time until the
 * answer to the flow's first request, and additions for targets that are cold,
 * failing, or whose reports are missing.
 */
static uint64_t
cost_of(const struct agent_view *v, const struct place_estimate *e,
    const struct place_means *m, uint64_t now)
{
	uint64_t cost = e->work_us + e->wait_us;

	if (is_cold(v, now))
		cost += milli_work(m, COLD_COST_MILLI);
	if (v->heartbeat.failing >= FAILING_THRESHOLD_MILLI)
		cost += milli_work(
		    m, (uint64_t)v->heartbeat.failing * FAILING_COST_FACTOR);
	if (is_stale(v, now))
		cost += milli_work(m, STALE_COST_MILLI);
	return cost;
}

/* Rendezvous hash: the agents of lowest rank are a flow's candidates. */
static uint64_t
rendezvous_rank(const struct agent_view *v, uint64_t flow)
{
	return XXH3_64bits_withSeed(&v->id, sizeof(v->id), flow);
}

size_t
place_candidates(const struct agent_group *g, const char *domain, uint64_t flow,
    struct agent_view *out[PLACE_CANDIDATES])
{
	uint64_t ranks[PLACE_CANDIDATES];
	size_t count = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct agent_view *v = g->members[i];
		uint64_t rank = rendezvous_rank(v, flow);
		size_t at = count;

		if (strcmp(v->heartbeat.domain, domain) != 0 ||
		    (count == PLACE_CANDIDATES && rank >= ranks[count - 1]))
			continue;
		if (count < PLACE_CANDIDATES)
			count++;
		else
			at--;
		for (; at > 0 && rank < ranks[at - 1]; at--) {
			ranks[at] = ranks[at - 1];
			out[at] = out[at - 1];
		}
		ranks[at] = rank;
		out[at] = v;
	}
	return count;
}

void
place_for_each_candidate(const struct agent_group *g, uint64_t flow,
    void (*each)(void *ctx, struct agent_view *v), void *ctx)
{
	struct agent_view *candidates[PLACE_CANDIDATES];

	for (size_t i = 0; i < g->count; i++) {
		const char *domain = g->members[i]->heartbeat.domain;
		size_t seen = 0;
		size_t count;

		while (strcmp(g->members[seen]->heartbeat.domain, domain) != 0)
			seen++;
		if (seen < i)
			continue;
		count = place_candidates(g, domain, flow, candidates);
		for (size_t k = 0; k < count; k++)
			each(ctx, candidates[k]);
	}
}

/** A candidate for a flow that may get it. */
struct candidate {
	struct agent_view *agent;
	struct place_estimate estimate;
};

/** State of a choice. */
struct choice {
	const struct place_request *req;
	struct place_means means;
	struct candidate candidates[CANDIDATES_MAX]; /**< of all domains */
	size_t count;
	const struct candidate *best;
	uint64_t cost;
	struct agent_view *limited; /**< cold and expected to refuse: used if
				       there is no best one */
	struct agent_view *avoided; /**< used if there is no other agent */
};

static void
collect_candidate(void *ctx, struct agent_view *v)
{
	struct choice *c = ctx;
	const struct place_request *req = c->req;

	if (!accepts_flows(v, req->now) || was_tried(req, v->id) ||
	    is_evacuated(req, v) || c->count == CANDIDATES_MAX)
		return;
	if (req->now < v->avoid_until_ns) {
		c->avoided = v;
		return;
	}
	if (is_limited(req, v)) {
		if (c->limited == NULL ||
		    v->cold_next_ns < c->limited->cold_next_ns)
			c->limited = v;
		return;
	}
	c->candidates[c->count++] = (struct candidate){
	    v, estimate_at(v, &c->means, req->priority, req->now)};
}

static void
consider(struct choice *c, const struct candidate *e)
{
	const struct place_request *req = c->req;
	uint64_t cost = cost_of(e->agent, &e->estimate, &c->means, req->now);

	if (req->domains != NULL)
		cost += domain_share_cost_us(
		    req->domains, e->agent->domain_tag, req->kind);
	if (c->best != NULL &&
	    (cost > c->cost ||
		(cost == c->cost &&
		    rendezvous_rank(e->agent, req->flow) >
			rendezvous_rank(c->best->agent, req->flow))))
		return;
	c->best = e;
	c->cost = cost;
}

/* Choose among the candidates of one failure domain; 0: of all. Those of one
 * domain are passed over when their reports are old. */
static void
choose_in(struct choice *c, uint32_t domain)
{
	for (size_t i = 0; i < c->count; i++) {
		const struct candidate *e = &c->candidates[i];

		if (domain == 0 || (e->agent->domain_tag == domain &&
				       !is_stale(e->agent, c->req->now)))
			consider(c, e);
	}
}

/*
 * Whether a request would wait for longer than it is worked on. The share of
 * flows that leaves follows the reports with a delay of seconds; until it has
 * grown, a queue of this length sends flows to other domains by cost.
 */
static bool
has_queue(const struct choice *c)
{
	return c->best->estimate.wait_us > c->best->estimate.work_us;
}

static void
choose_domain_and_agent(struct choice *c)
{
	const struct place_request *req = c->req;

	if (req->leave_to != 0)
		choose_in(c, req->leave_to);
	if (c->best == NULL && req->tried_count < NEAR_TRIES)
		choose_in(c, flow_service_tag(str_of(req->domain)));
	if (c->best == NULL || has_queue(c))
		choose_in(c, 0);
}

/* What admission asks for: the load of all candidates, and the one with the
 * earliest answer, which may have room when the one chosen has none. */
static void
report_candidates(const struct choice *c)
{
	const struct place_request *req = c->req;
	const struct candidate *earliest = NULL;
	uint64_t busy_milli = 0;
	uint64_t slots_milli = 0;

	for (size_t i = 0; i < c->count; i++) {
		const struct candidate *e = &c->candidates[i];
		uint64_t slots = e->estimate.slots * 1000;

		slots_milli += slots;
		busy_milli += e->estimate.requests_milli < slots
				  ? e->estimate.requests_milli
				  : slots;
		if (earliest == NULL ||
		    e->estimate.work_us + e->estimate.wait_us <
			earliest->estimate.work_us + earliest->estimate.wait_us)
			earliest = e;
	}
	busy_milli = slots_milli > 0 ? busy_milli * 1000 / slots_milli : 0;
	if (req->earliest != NULL && earliest != NULL) {
		*req->earliest = (struct place_earliest){
		    earliest->agent, earliest->estimate};
		req->earliest->estimate.busy_milli = busy_milli;
	}
	if (req->estimate != NULL && c->best != NULL) {
		*req->estimate = c->best->estimate;
		req->estimate->busy_milli = busy_milli;
	}
}

struct agent_view *
place_choose(const struct place_request *req)
{
	const struct agent_group *g =
	    agents_find_group(req->agents, req->service);
	struct choice c = {.req = req};
	struct agent_view *last_resort;

	if (req->earliest != NULL)
		*req->earliest = (struct place_earliest){0};
	if (g == NULL)
		return NULL;
	c.means = place_measure(g, req->domain, req->now);
	c.means.balancers = req->balancers > 0 ? req->balancers : 1;
	place_for_each_candidate(g, req->flow, collect_candidate, &c);
	for (size_t i = 0; c.count == 0 && i < g->count; i++)
		collect_candidate(&c, g->members[i]);
	if (c.count > 0)
		choose_domain_and_agent(&c);
	report_candidates(&c);
	if (c.best != NULL)
		return c.best->agent;
	last_resort = c.limited != NULL ? c.limited : c.avoided;
	if (last_resort != NULL && req->estimate != NULL)
		*req->estimate =
		    estimate_at(last_resort, &c.means, req->priority, req->now);
	return last_resort;
}

bool
place_has_evacuated(const struct place_request *req)
{
	const struct agent_group *g =
	    agents_find_group(req->agents, req->service);

	for (size_t i = 0; g != NULL && i < g->count; i++) {
		if (accepts_flows(g->members[i], req->now) &&
		    is_evacuated(req, g->members[i]))
			return true;
	}
	return false;
}
