#include "flow/failing.h"

#include "base/clock.h"

/** One answer counts for this part of what is known: a failure in a thousand
 * is forgotten, a few in a row are seen. */
#define ANSWERS 16
/** Without an answer the part halves in this, ms: the longest time that the
 * users' targets were grey is some three times that. */
#define FAILING_HALF_MS 2000
/** After so many halves nothing is left. */
#define HALVES_MOST 10

void
failing_note(struct failing *f, bool failed, uint64_t now)
{
	int32_t was = (int32_t)failing_milli(f, now);
	int32_t is = failed ? 1000 : 0;

	f->milli = (uint32_t)(was + (is - was) / ANSWERS);
	f->noted_ns = now;
}

uint32_t
failing_milli(const struct failing *f, uint64_t now)
{
	/* Callers that go by the last tick are behind the latest answer. */
	uint64_t passed = now > f->noted_ns ? now - f->noted_ns : 0;
	uint64_t halves = passed / (FAILING_HALF_MS * NS_PER_MS);

	return halves > HALVES_MOST ? 0 : f->milli >> halves;
}
