#include "flow/request_queue.h"

#include "base/clock.h"

#include <string.h>

/** Requests that a target queues beyond its slots; it sheds more. */
#define TARGET_QUEUE 8
/** Upper bound of the margin, see rq_hold_limit(). */
#define MARGIN_MAX 4
/** Requests of different priorities compete if they arrive within this time, in
 * ms: longer than a request stays at the target. */
#define COMPETE_MS 1000
/** After this many requests that were released ahead of a lower priority, while
 * none of lower priority got a place at the target, one of these is released.
 * At 8.5 to 14.5 ms between two answers, the rates of the deployments in
 * service, six releases take less than RQ_HOLD_MAX_MS, so that a request of low
 * priority finds a free place at the target before it is released by time into
 * a queue that may be full. */
#define PASSED_MAX 5
/** Half requests that one request costs, and the most that are kept. Each held
 * request of lower priority adds one, so that not more than half of these are
 * released for the share and the higher priority is not served less. */
#define SHARE_COST 2
#define SHARE_MAX 8

/* ---- decisions ---- */

static bool
is_recent(const struct request_queue *q, unsigned priority, uint64_t now)
{
	return q->seen_ns[priority] != 0 &&
	       now < q->seen_ns[priority] + COMPETE_MS * NS_PER_MS;
}

static bool
priorities_compete(const struct request_queue *q, uint64_t now)
{
	unsigned recent = 0;

	for (unsigned i = 0; i < RQ_PRIORITIES; i++)
		recent += is_recent(q, i, now) ? 1 : 0;
	return recent > 1;
}

/* A request of unknown priority has the lowest that competes. */
static unsigned
effective_priority(const struct request_queue *q, int priority, uint64_t now)
{
	unsigned lowest = RQ_PRIORITIES - 1;

	if (priority >= 0)
		return priority < RQ_PRIORITIES ? (unsigned)priority
						: RQ_PRIORITIES - 1;
	while (lowest > 0 && !is_recent(q, lowest, now))
		lowest--;
	return lowest;
}

/*
 * Requests at the target from which on further ones are held. Those beyond the
 * slots keep the slots busy until an answer has reached the agent and the next
 * request the target, which takes less than 1 ms: half as many as the slots
 * are enough if a request takes 2 ms or more.
 */
uint32_t
rq_hold_limit(uint32_t slots)
{
	uint32_t margin = (slots + 1) / 2;

	return slots + (margin < MARGIN_MAX ? margin : MARGIN_MAX);
}

/* Whether the target has requests that were released by time and are of a
 * lower priority. */
static bool
is_behind_overdue(const struct request_queue *q, unsigned priority)
{
	for (unsigned i = priority + 1; i < RQ_PRIORITIES; i++) {
		if (q->overdue[i] > 0)
			return true;
	}
	return false;
}

/*
 * Requests that are released by time fill the target's queue beyond the limit.
 * Those of higher priority then get every place in it, or the lower priority
 * would take the places that become free.
 */
static bool
has_room(const struct request_queue *q, unsigned priority,
    const struct rq_load *load, uint64_t now)
{
	if (load->slots == 0 || load->at_target < rq_hold_limit(load->slots) ||
	    !priorities_compete(q, now))
		return true;
	return load->at_target < load->slots + TARGET_QUEUE &&
	       is_behind_overdue(q, priority);
}

static bool
is_before(const struct queued_request *a, const struct queued_request *b)
{
	return a->priority != b->priority ? a->priority < b->priority
					  : a->due_ns < b->due_ns;
}

/* ---- requests ---- */

static struct queued_request *
find(const struct request_queue *q, const struct flow_key *flow)
{
	struct queued_request *r;

	HASH_FIND(hh, q->table, flow, sizeof(*flow), r);
	return r;
}

static void
append(struct request_queue *q, struct queued_request *r,
    const struct flow_packet *p)
{
	struct queued_packet *h = mem_new(sizeof(*h) + p->bytes.len);

	h->packet = *p;
	memcpy(h->bytes, p->bytes.p, p->bytes.len);
	h->packet.bytes = (struct str){h->bytes, p->bytes.len};
	if (r->last == NULL)
		r->first = h;
	else
		r->last->next = h;
	r->last = h;
	r->packets++;
	r->bytes += p->bytes.len;
	q->packets++;
	q->bytes += p->bytes.len;
}

static void
hold(struct request_queue *q, const struct flow_packet *p, unsigned priority,
    uint64_t now)
{
	struct queued_request *r = mem_new(sizeof(*r));
	uint64_t latency_ms = p->latency_ms;

	if (latency_ms == 0)
		latency_ms = FLOW_MARK_LATENCY_MAX_MS;
	r->flow = p->flow;
	r->priority = priority;
	r->held_ns = now;
	r->due_ns = now + latency_ms * NS_PER_MS;
	/* The rest is for the queue of the target, which may be full, and the
	 * work. */
	r->until_ns = now + (latency_ms / 4 < RQ_HOLD_MAX_MS ? latency_ms / 4
							     : RQ_HOLD_MAX_MS) *
				NS_PER_MS;
	HASH_ADD(hh, q->table, flow, sizeof(r->flow), r);
	append(q, r, p);
	for (unsigned i = 0; i < priority; i++) {
		if (is_recent(q, i, now)) {
			q->share += q->share < SHARE_MAX ? 1 : 0;
			break;
		}
	}
}

static void
detach(struct request_queue *q, struct queued_request *r)
{
	HASH_DEL(q->table, r);
	q->packets -= r->packets;
	q->bytes -= r->bytes;
}

void
rq_free(struct queued_request *r)
{
	struct queued_packet *h = r->first;

	while (h != NULL) {
		struct queued_packet *next = h->next;

		free(h);
		h = next;
	}
	free(r);
}

void
rq_clear(struct request_queue *q)
{
	struct queued_request *r, *next;

	HASH_ITER(hh, q->table, r, next)
	{
		detach(q, r);
		rq_free(r);
	}
}

uint32_t
rq_count(const struct request_queue *q)
{
	return HASH_COUNT(q->table);
}

bool
rq_holds(const struct request_queue *q, const struct flow_key *flow)
{
	return q->table != NULL && find(q, flow) != NULL;
}

/* ---- packets ---- */

/* Duplicate acknowledgements have a meaning of their own, and are kept. */
static bool
is_copy(const struct queued_request *r, const struct flow_packet *p)
{
	for (const struct queued_packet *h = r->first; h != NULL; h = h->next) {
		const struct flow_packet *held = &h->packet;

		if (held->seq == p->seq && held->data == p->data &&
		    ((held->flags ^ p->flags) & FLOW_FIN) == 0 &&
		    (p->data > 0 || (p->flags & FLOW_FIN) != 0))
			return true;
	}
	return false;
}

/* Whether the caller sent a packet before the held request. */
static bool
precedes(const struct flow_packet *p, const struct queued_request *r)
{
	uint32_t end = p->seq + (uint32_t)p->data;

	return (p->flags & FLOW_FIN) == 0 &&
	       (int32_t)(end - r->first->packet.seq) <= 0;
}

/* Handle a packet of a flow whose request is held. */
static enum rq_action
offer_next(struct request_queue *q, struct queued_request *r,
    const struct flow_packet *p)
{
	if ((p->flags & FLOW_RST) != 0)
		return RQ_DELIVER;
	if (p->probe || (p->flags & FLOW_SYN) != 0)
		return is_copy(r, p) ? RQ_RELEASE_AND_DROP : RQ_RELEASE_FIRST;
	if (is_copy(r, p))
		return RQ_DROP_COPY;
	if (precedes(p, r))
		return RQ_DELIVER;
	if (r->packets >= RQ_REQUEST_PACKETS_MAX)
		return RQ_RELEASE_FIRST;
	append(q, r, p);
	return RQ_HOLD;
}

enum rq_action
rq_offer(struct request_queue *q, const struct flow_packet *p, bool begins,
    const struct rq_load *load, uint64_t now)
{
	struct queued_request *r = q->table == NULL ? NULL : find(q, &p->flow);
	unsigned priority;

	if (r != NULL)
		return offer_next(q, r, p);
	if (!begins)
		return RQ_DELIVER;
	priority = effective_priority(q, p->priority, now);
	if (p->priority >= 0)
		q->seen_ns[priority] = now;
	if (has_room(q, priority, load, now))
		return RQ_DELIVER;
	hold(q, p, priority, now);
	return RQ_HOLD;
}

/* ---- release ---- */

/*
 * A target whose queue is full would shed the request. If it is behind requests
 * of lower priority there, it gets one of the next places, so it is held for
 * RQ_HOLD_MAX_MS. Returns whether it is held longer.
 */
static bool
extend_hold(const struct request_queue *q, struct queued_request *r,
    const struct rq_load *load, uint64_t now)
{
	uint64_t latest = r->held_ns + RQ_HOLD_MAX_MS * NS_PER_MS;

	if (now >= latest || load->at_target < load->slots + TARGET_QUEUE ||
	    !is_behind_overdue(q, r->priority))
		return false;
	r->until_ns = latest;
	return true;
}

/* The request that is due by time, by priority. */
static struct queued_request *
find_overdue(
    const struct request_queue *q, const struct rq_load *load, uint64_t now)
{
	struct queued_request *best = NULL;

	for (struct queued_request *r = q->table; r != NULL; r = r->hh.next) {
		if (now < r->until_ns || extend_hold(q, r, load, now))
			continue;
		if (best == NULL || is_before(r, best))
			best = r;
	}
	return best;
}

static struct queued_request *
find_best(const struct request_queue *q)
{
	struct queued_request *best = q->table;

	for (struct queued_request *r = q->table; r != NULL; r = r->hh.next) {
		if (is_before(r, best))
			best = r;
	}
	return best;
}

/* The oldest request of a priority below that of the best one. */
static struct queued_request *
find_lower(const struct request_queue *q, const struct queued_request *best)
{
	struct queued_request *r = q->table;

	while (r != NULL && r->priority <= best->priority)
		r = r->hh.next;
	return r;
}

static struct queued_request *
find_oldest_of_lowest(const struct request_queue *q)
{
	struct queued_request *lowest = q->table;

	for (struct queued_request *r = q->table; r != NULL; r = r->hh.next) {
		if (r->priority > lowest->priority)
			lowest = r;
	}
	return lowest;
}

static struct queued_request *
choose_by_order(struct request_queue *q, struct queued_request *best)
{
	struct queued_request *lower = find_lower(q, best);

	if (lower == NULL)
		return best;
	if (q->passed >= PASSED_MAX && q->share >= SHARE_COST) {
		q->share -= SHARE_COST;
		return lower;
	}
	return best;
}

/* Count how long the lower priorities have got no place at the target. */
static void
record_place(struct request_queue *q, const struct queued_request *r,
    const struct rq_load *load, uint64_t now)
{
	bool is_lower = false;

	if (load->at_target >= load->slots + TARGET_QUEUE)
		return;
	for (unsigned i = 0; i < r->priority; i++)
		is_lower |= is_recent(q, i, now);
	if (is_lower)
		q->passed = 0;
	else
		q->passed += q->passed < PASSED_MAX ? 1 : 0;
}

struct queued_request *
rq_take(struct request_queue *q, const struct rq_load *load, uint64_t now,
    enum rq_cause *cause)
{
	struct queued_request *r;

	if (q->table == NULL)
		return NULL;
	*cause = RQ_BY_ORDER;
	r = find_best(q);
	if (has_room(q, r->priority, load, now)) {
		r = choose_by_order(q, r);
	} else if ((r = find_overdue(q, load, now)) != NULL) {
		*cause = RQ_BY_TIME;
	} else if (rq_count(q) > RQ_REQUESTS_MAX ||
		   q->packets > RQ_PACKETS_MAX || q->bytes > RQ_BYTES_MAX) {
		r = find_oldest_of_lowest(q);
		*cause = RQ_BY_BOUND;
	} else {
		return NULL;
	}
	record_place(q, r, load, now);
	detach(q, r);
	return r;
}

struct queued_request *
rq_take_flow(struct request_queue *q, const struct flow_key *flow)
{
	struct queued_request *r = flow != NULL ? find(q, flow) : q->table;

	if (r != NULL)
		detach(q, r);
	return r;
}

bool
rq_drop_flow(struct request_queue *q, const struct flow_key *flow)
{
	struct queued_request *r =
	    q->table == NULL ? NULL : rq_take_flow(q, flow);

	if (r == NULL)
		return false;
	q->dropped_packets += r->packets;
	rq_free(r);
	return true;
}

uint64_t
rq_next_ns(const struct request_queue *q)
{
	uint64_t next = UINT64_MAX;

	for (const struct queued_request *r = q->table; r != NULL;
	     r = r->hh.next) {
		if (r->until_ns < next)
			next = r->until_ns;
	}
	return next;
}
