#include "flow/packet.h"

#include <xxhash.h>

/** How far two acknowledgement numbers of one flow may be apart: several times
 * the data that a target may have in flight. Numbers of two flows hardly ever
 * come this close by chance. */
#define ACK_WINDOW_BYTES (1U << 20)

bool
flow_acks_match(uint32_t a, uint32_t b)
{
	return a - b + ACK_WINDOW_BYTES < 2 * ACK_WINDOW_BYTES;
}

uint32_t
flow_service_tag(struct str name)
{
	uint32_t tag = XXH32(name.p, name.len, 0);

	return tag == 0 ? 1 : tag;
}
