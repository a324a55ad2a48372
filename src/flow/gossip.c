#include "flow/gossip.h"

#include "base/clock.h"

/** Refill rate in list messages per second: one has about 1,200 bytes, and a
 * process may send 13 KB of control traffic per second. */
#define PARTS_PER_S 3
/** Credit at the start, in list messages. When all processes start together,
 * the seeds that all of them contact send some hundreds of messages. Credit
 * above MAX_PARTS expires at INITIAL_PARTS per INITIAL_CREDIT_MS. */
#define INITIAL_PARTS INT64_C(1024)
#define INITIAL_CREDIT_MS 5000
/** Most credit after the start, in list messages. */
#define MAX_PARTS INT64_C(8)
/** With fewer list messages left than this, or with less than half of the
 * initial credit during the start, samples are sent instead of whole lists:
 * when thousands of processes start at once, all contact a few seeds. */
#define LOW_PARTS INT64_C(4)
/** Cost of a sample in thousandths of a full list message. */
#define SAMPLE_COST_MILLI 150
/** An unchanged list is sent again after this, in ms, in case it was lost. */
#define SAME_LIST_INTERVAL_MS 2000
/** A changed list is sent again after this, in ms. */
#define CHANGED_LIST_INTERVAL_MS 150
/** Up to this many peers, each of them answers. */
#define ALL_ANSWER_MAX 16
/** Expected number of answers when there are more peers. */
#define EXPECTED_ANSWERS 6

void
gossip_init(struct gossip *g)
{
	g->credit_milli = INITIAL_PARTS * 1000;
}

void
gossip_refill(struct gossip *g, uint64_t passed_ns)
{
	int64_t passed_ms = (int64_t)(passed_ns / NS_PER_MS);
	int64_t max = MAX_PARTS * 1000;

	if (g->credit_milli > max) {
		g->credit_milli -=
		    passed_ms * INITIAL_PARTS * 1000 / INITIAL_CREDIT_MS;
		g->credit_milli = g->credit_milli < max ? max : g->credit_milli;
		return;
	}
	g->credit_milli += passed_ms * PARTS_PER_S;
	if (g->credit_milli > max)
		g->credit_milli = max;
}

static bool
is_credit_low(const struct gossip *g)
{
	int64_t parts = g->credit_milli / 1000;

	return parts < LOW_PARTS ||
	       (parts > MAX_PARTS && parts < INITIAL_PARTS / 2);
}

enum gossip_extent
gossip_reserve(struct gossip *g, struct gossip_sent *sent, uint64_t digest,
    size_t parts, bool may_sample, uint64_t now)
{
	uint64_t interval_ms = sent->digest == digest
				   ? SAME_LIST_INTERVAL_MS
				   : CHANGED_LIST_INTERVAL_MS;
	bool low = is_credit_low(g);

	if (sent->at_ns != 0 && now < sent->at_ns + interval_ms * NS_PER_MS)
		return GOSSIP_NONE;
	if (g->credit_milli < 0)
		return GOSSIP_NONE;
	*sent = (struct gossip_sent){digest, now};
	if (may_sample && low) {
		g->credit_milli -= SAMPLE_COST_MILLI;
		return GOSSIP_SAMPLE;
	}
	g->credit_milli -= (int64_t)parts * 1000;
	return GOSSIP_WHOLE;
}

bool
gossip_should_answer(struct rng *rng, size_t peers)
{
	return peers <= ALL_ANSWER_MAX ||
	       rng_below(rng, peers) < EXPECTED_ANSWERS;
}

struct round_robin_batch
round_robin_next(struct round_robin *t, size_t total, size_t most)
{
	struct round_robin_batch r = {.total = total};

	if (total == 0)
		return r;
	r.first = t->next % total;
	r.count = total < most ? total : most;
	t->next = r.first + r.count;
	return r;
}

bool
round_robin_includes(const struct round_robin_batch *r, size_t index)
{
	return (index + r->total - r->first) % r->total < r->count;
}
