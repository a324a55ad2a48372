/**
 * @file decay.h
 * Numbers that halve in a fixed time.
 */
#ifndef PW_FLOW_DECAY_H
#define PW_FLOW_DECAY_H

#include "base/clock.h"

/** After this many halvings a number counts as 0. */
#define DECAY_HALVINGS_MAX 16

/** A number that halves in half_ms, after passed_ns. */
static inline uint64_t
decay(uint64_t n, uint64_t passed_ns, uint64_t half_ms)
{
	uint64_t half_ns = half_ms * NS_PER_MS;
	uint64_t halvings = passed_ns / half_ns;

	if (halvings > DECAY_HALVINGS_MAX)
		return 0;
	n >>= halvings;
	return n - n * (passed_ns % half_ns) / (2 * half_ns);
}

#endif
