/**
 * @file failure_rate.h
 * The share of a target's responses that report a failure. A target that fails
 * requests immediately appears idle, so placement by load alone would send it
 * even more flows; the failure rate is added to its cost.
 */
#ifndef PW_FAILURE_RATE_H
#define PW_FAILURE_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** Failure rate, in thousandths, from which a target counts as failing. */
#define FAILING_THRESHOLD_MILLI 100

/** Failure rate of a target's recent responses. */
struct failure_rate {
	uint32_t milli; /**< rate at last_response_ns, in thousandths */
	uint64_t last_response_ns;
};

/** Record a response of the target. */
void failure_rate_record(struct failure_rate *f, bool failed, uint64_t now);
/**
 * Get the failure rate, in thousandths. It halves with each HALF_LIFE_MS that
 * passes without a response, so that a target which gets no flows because of
 * it gets new ones after some time.
 */
uint32_t failure_rate_milli(const struct failure_rate *f, uint64_t now);

#endif
