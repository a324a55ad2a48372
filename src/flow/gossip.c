#include "flow/gossip.h"

#include "base/clock.h"

/** Parts of lists a second: a part has some 1,200 bytes, and a process may
 * send 13 KB a second for control. */
#define PARTS_PER_S 3
/** Parts saved up: when all start together, those that everybody turns to
 * tell some hundreds. */
#define PARTS_SAVED INT64_C(1024)
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
	g->credit_milli += (int64_t)(passed_ns / NS_PER_MS) * PARTS_PER_S;
	if (g->credit_milli > PARTS_SAVED * 1000)
		g->credit_milli = PARTS_SAVED * 1000;
}

bool
gossip_may_tell(struct gossip *g, struct gossip_told *told, uint64_t digest,
    size_t parts, uint64_t now)
{
	uint64_t again_ms =
	    told->digest == digest ? SAME_AGAIN_MS : NEW_AGAIN_MS;

	if (told->at_ns != 0 && now < told->at_ns + again_ms * NS_PER_MS)
		return false;
	if (g->credit_milli < 0)
		return false;
	g->credit_milli -= (int64_t)parts * 1000;
	*told = (struct gossip_told){digest, now};
	return true;
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
