#include "flow/failure_rate.h"

#include "base/clock.h"

/** A response has a weight of 1 / EWMA_WEIGHT_DIVISOR in the moving average:
 * one failure in a thousand responses has no lasting effect, a few in a row are
 * detected. */
#define EWMA_WEIGHT_DIVISOR 16
/** Time in ms without a response in which the rate halves. The longest time for
 * which the users' targets failed a part of their requests is about three times
 * as long. */
#define HALF_LIFE_MS 2000
/** After this many halvings the rate counts as 0. */
#define HALVINGS_MAX 10

void
failure_rate_record(struct failure_rate *f, bool failed, uint64_t now)
{
	int32_t old_milli = (int32_t)failure_rate_milli(f, now);
	int32_t sample_milli = failed ? 1000 : 0;

	f->milli = (uint32_t)(old_milli +
			      (sample_milli - old_milli) / EWMA_WEIGHT_DIVISOR);
	f->last_response_ns = now;
}

uint32_t
failure_rate_milli(const struct failure_rate *f, uint64_t now)
{
	/* now may be the time of the last tick, before the last response. */
	uint64_t elapsed =
	    now > f->last_response_ns ? now - f->last_response_ns : 0;
	uint64_t halvings = elapsed / (HALF_LIFE_MS * NS_PER_MS);

	return halvings > HALVINGS_MAX ? 0 : f->milli >> halvings;
}
