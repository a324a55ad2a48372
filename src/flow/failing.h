/**
 * @file failing.h
 * Which part of its answers a target gives as failures. A target that fails
 * some of its requests at once looks idle, and would draw the flows of the
 * others: this is the load that such a choice answers.
 */
#ifndef PW_FAILING_H
#define PW_FAILING_H

#include <stdbool.h>
#include <stdint.h>

/** From this part on a target counts as failing, thousandths. */
#define FAILING_MILLI 100

/** A target's recent answers. */
struct failing {
	uint32_t milli;	   /**< part that failed, thousandths */
	uint64_t noted_ns; /**< latest answer */
};

/** An answer came. */
void failing_note(struct failing *f, bool failed, uint64_t now);
/**
 * The part that fails; it halves with each FAILING_HALF_MS without an answer,
 * so that a target which gets no flows for it is tried again.
 */
uint32_t failing_milli(const struct failing *f, uint64_t now);

#endif
