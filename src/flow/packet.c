#include "flow/packet.h"

#include <xxhash.h>

uint32_t
flow_service_tag(struct str name)
{
	uint32_t tag = XXH32(name.p, name.len, 0);

	return tag == 0 ? 1 : tag;
}
