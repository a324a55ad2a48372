/**
 * @file budget.h
 * Retry budget: each success adds a fraction of a retry, so that retries
 * cannot grow into a storm when every target refuses requests.
 */
#ifndef PW_BUDGET_H
#define PW_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A token bucket; one token pays for one retry. */
struct budget {
	uint32_t centitokens; /**< hundredths of a token */
	uint32_t retries;     /**< retries granted in total */
	uint32_t successes;   /**< successes reported in total */
};

/** Retries granted before any success. */
#define BUDGET_INITIAL_RETRIES 10

/** Initializes a budget with BUDGET_INITIAL_RETRIES tokens. */
void budget_init(struct budget *b);
/** Counts a success, which adds percent hundredths of a token. */
void budget_add_success(struct budget *b, uint32_t percent);
/** Takes one retry from the budget; false when it is exhausted. */
bool budget_take_retry(struct budget *b);

#endif
