#include "flow/gossip.h"

#include "base/clock.h"

/** Parts of lists a second: a part has some 1,200 bytes, and a process may
 * send 13 KB a second for control. */
#define PARTS_PER_S 3
/** Parts at the start: when all start together, those that everybody turns to
 * tell some hundreds. What is left of them goes within START_MS. */
#define PARTS_SAVED INT64_C(1024)
#define START_MS 5000
/** Parts saved up later. */
#define PARTS_SPARE INT64_C(8)
/** With less than this left samples are told, not lists, and with less than
 * half of those of the start: when thousands start at once they all turn to a
 * few seeds. */
#define SCARCE_PARTS INT64_C(4)
/** A sample beside a part of a list, thousandths. */
#define SAMPLE_COST_MILLI 150
/** The same list again after this, in case it was lost, ms. */
#define SAME_AGAIN_MS 2000
/** A list that has changed again after this, ms. */
#define NEW_AGAIN_MS 150
/** Among so many all answer; of more, about so many. */
#define ANSWER_ALL 16
#define ANSWER_SOME 6

void
gossip_init(struct gossip *g)
{
	g->credit_milli = PARTS_SAVED * 1000;
}

void
gossip_earn(struct gossip *g, uint64_t passed_ns)
{
	int64_t passed_ms = (int64_t)(passed_ns / NS_PER_MS);
	int64_t spare = PARTS_SPARE * 1000;

	if (g->credit_milli > spare) {
		g->credit_milli -= passed_ms * PARTS_SAVED * 1000 / START_MS;
		g->credit_milli =
		    g->credit_milli < spare ? spare : g->credit_milli;
		return;
	}
	g->credit_milli += passed_ms * PARTS_PER_S;
	if (g->credit_milli > spare)
		g->credit_milli = spare;
}

static bool
is_scarce(const struct gossip *g)
{
	int64_t parts = g->credit_milli / 1000;

	return parts < SCARCE_PARTS ||
	       (parts > PARTS_SPARE && parts < PARTS_SAVED / 2);
}

enum gossip_share
gossip_may_tell(struct gossip *g, struct gossip_told *told, uint64_t digest,
    size_t parts, bool may_sample, uint64_t now)
{
	uint64_t again_ms =
	    told->digest == digest ? SAME_AGAIN_MS : NEW_AGAIN_MS;
	bool scarce = is_scarce(g);

	if (told->at_ns != 0 && now < told->at_ns + again_ms * NS_PER_MS)
		return GOSSIP_NONE;
	if (g->credit_milli < 0)
		return GOSSIP_NONE;
	*told = (struct gossip_told){digest, now};
	if (may_sample && scarce) {
		g->credit_milli -= SAMPLE_COST_MILLI;
		return GOSSIP_SAMPLE;
	}
	g->credit_milli -= (int64_t)parts * 1000;
	return GOSSIP_WHOLE;
}

bool
gossip_answers(struct rng *rng, size_t peers)
{
	return peers <= ANSWER_ALL || rng_below(rng, peers) < ANSWER_SOME;
}

struct turn_round
turn_begin(struct turn *t, size_t many, size_t most)
{
	struct turn_round r = {.many = many};

	if (many == 0)
		return r;
	r.first = t->next % many;
	r.count = many < most ? many : most;
	t->next = r.first + r.count;
	return r;
}

bool
turn_takes(const struct turn_round *r, size_t place)
{
	return (place + r->many - r->first) % r->many < r->count;
}
