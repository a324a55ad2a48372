#include "request/budget.h"

/** Hundredths of a token that one retry costs. */
#define RETRY_COST 100
/** Most retries that can be saved up. */
#define BUDGET_CEILING 100

void
budget_init(struct budget *b)
{
	b->tokens = BUDGET_FLOOR * RETRY_COST;
	b->spent = 0;
	b->earned = 0;
}

void
budget_success(struct budget *b, uint32_t percent)
{
	b->earned++;
	b->tokens += percent;
	if (b->tokens > BUDGET_CEILING * RETRY_COST)
		b->tokens = BUDGET_CEILING * RETRY_COST;
}

bool
budget_take(struct budget *b)
{
	if (b->tokens < RETRY_COST)
		return false;
	b->tokens -= RETRY_COST;
	b->spent++;
	return true;
}
