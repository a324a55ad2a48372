/**
 * @file rng.h
 * Seeded random numbers from libsodium's deterministic generator.
 */
#ifndef PW_RNG_H
#define PW_RNG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A reproducible stream of random numbers. */
struct rng {
	uint64_t seed;
	uint64_t block;	   /**< number of blocks generated */
	uint64_t pool[64]; /**< current block */
	unsigned next;	   /**< index of the next unused word in pool */
};

/** Start a stream. Equal seeds give equal streams. */
void rng_init(struct rng *rng, uint64_t seed);
/** The next 64 random bits. */
uint64_t rng_next(struct rng *rng);
/** A random number in [0, bound); 0 if bound is 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);
/** True with a probability of ppm parts per million. */
bool rng_chance(struct rng *rng, unsigned ppm);
/** A random seed from the operating system, for daemons. */
uint64_t rng_system_seed(void);

#endif
