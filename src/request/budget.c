#include "request/budget.h"

/** Cost of one retry, in hundredths of a token. */
#define CENTITOKENS_PER_RETRY 100
/** Most tokens that the bucket holds. */
#define BUDGET_MAX_RETRIES 100

void
budget_init(struct budget *b)
{
	b->centitokens = BUDGET_INITIAL_RETRIES * CENTITOKENS_PER_RETRY;
	b->retries = 0;
	b->successes = 0;
}

void
budget_add_success(struct budget *b, uint32_t percent)
{
	b->successes++;
	b->centitokens += percent;
	if (b->centitokens > BUDGET_MAX_RETRIES * CENTITOKENS_PER_RETRY)
		b->centitokens = BUDGET_MAX_RETRIES * CENTITOKENS_PER_RETRY;
}

bool
budget_take_retry(struct budget *b)
{
	if (b->centitokens < CENTITOKENS_PER_RETRY)
		return false;
	b->centitokens -= CENTITOKENS_PER_RETRY;
	b->retries++;
	return true;
}
