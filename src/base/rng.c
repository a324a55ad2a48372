#include "base/rng.h"

#include <sodium.h>
#include <string.h>

static void
refill(struct rng *rng)
{
	uint8_t seed[randombytes_SEEDBYTES] = {0};

	memcpy(seed, &rng->seed, sizeof(rng->seed));
	memcpy(seed + sizeof(rng->seed), &rng->block, sizeof(rng->block));
	randombytes_buf_deterministic(rng->pool, sizeof(rng->pool), seed);
	rng->block++;
	rng->next = 0;
}

void
rng_init(struct rng *rng, uint64_t seed)
{
	rng->seed = seed;
	rng->block = 0;
	refill(rng);
}

uint64_t
rng_next(struct rng *rng)
{
	if (rng->next == sizeof(rng->pool) / sizeof(rng->pool[0]))
		refill(rng);
	return rng->pool[rng->next++];
}

uint64_t
rng_below(struct rng *rng, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return rng_next(rng) % bound;
}

bool
rng_chance(struct rng *rng, unsigned ppm)
{
	return rng_below(rng, 1000000) < ppm;
}

uint64_t
rng_system_seed(void)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	return seed;
}
