/**
 * @file budget.h
 * Retry budget: a share of recent successes, so that retries cannot grow
 * into a storm when every target refuses.
 */
#ifndef PW_BUDGET_H
#define PW_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Tokens in hundredths of a retry. */
struct budget {
	uint32_t tokens;
	uint32_t spent;	 /**< retries allowed, ever */
	uint32_t earned; /**< successes seen, ever */
};

/** Retries allowed before any success. */
#define BUDGET_FLOOR 10

/** A budget that holds the floor. */
void budget_init(struct budget *b);
/** Note a success; adds percent hundredths of a retry. */
void budget_success(struct budget *b, uint32_t percent);
/** Take one retry; false when the budget is spent. */
bool budget_take(struct budget *b);

#endif
