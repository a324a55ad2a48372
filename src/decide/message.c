#include "decide/message.h"

#include <xxhash.h>

uint64_t
flow_hash(const struct flow_key *key)
{
	return XXH3_64bits(key, sizeof(*key));
}

bool
flow_eq(const struct flow_key *a, const struct flow_key *b)
{
	return a->caller == b->caller && a->service == b->service;
}
