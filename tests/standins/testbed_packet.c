#include "testbed.h"

#include "base/clock.h"

#include <string.h>

#define CHECKSUM_OFFSET 8
#define FLAGS_OFFSET 26
#define PADDING_OFFSET 27
#define BIT_BOUNCED 4

uint64_t
testbed_now_ms(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c) / NS_PER_MS;
}

struct addr
testbed_addr(const struct testbed *h, unsigned kind, unsigned n, uint16_t port)
{
	return (struct addr){
	    0x7f000000U | h->net << 16 | kind << 8 | (n + 1), port};
}

struct addr
testbed_service_addr(size_t service)
{
	return (struct addr){0xc6120001U + (uint32_t)service, 443};
}

const char *
testbed_service_name(size_t service)
{
	return service == 0 ? "desk" : "store";
}

/*
 * Covers the packet except the checksum itself and the parts that balancers
 * and agents may change: the padding and the bounced flag.
 */
static uint32_t
compute_checksum(const char *bytes, size_t len)
{
	uint32_t sum = 2166136261U;

	for (size_t i = 0; i < len; i++) {
		unsigned char b = (unsigned char)bytes[i];

		if ((i >= CHECKSUM_OFFSET && i < CHECKSUM_OFFSET + 4) ||
		    (i >= PADDING_OFFSET && i < TESTBED_HEADER_LEN))
			continue;
		if (i == FLAGS_OFFSET)
			b &= (unsigned char)~BIT_BOUNCED;
		sum = (sum ^ b) * 16777619U;
	}
	return sum;
}

size_t
testbed_packet_encode(const struct testbed_packet *p, char *buf)
{
	uint16_t len = (uint16_t)strlen(p->data);
	uint32_t sum;

	memset(buf, 0, TESTBED_HEADER_LEN);
	memcpy(buf, &p->seq, 4);
	memcpy(buf + 4, &p->ack, 4);
	memcpy(buf + 12, &p->dst.ip, 4);
	memcpy(buf + 16, &p->src.port, 2);
	memcpy(buf + 18, &p->dst.port, 2);
	memcpy(buf + 20, &p->src.ip, 4);
	memcpy(buf + 24, &len, 2);
	buf[FLAGS_OFFSET] = (char)p->flags;
	memcpy(buf + TESTBED_HEADER_LEN, p->data, len);
	sum = compute_checksum(buf, TESTBED_HEADER_LEN + len);
	memcpy(buf + CHECKSUM_OFFSET, &sum, 4);
	return TESTBED_HEADER_LEN + (size_t)len;
}

bool
testbed_packet_decode(
    struct testbed *h, struct str bytes, struct testbed_packet *out)
{
	uint32_t sum;
	size_t len = bytes.len - TESTBED_HEADER_LEN;

	if (bytes.len < TESTBED_HEADER_LEN || len >= sizeof(out->data))
		return false;
	memcpy(&out->seq, bytes.p, 4);
	memcpy(&out->ack, bytes.p + 4, 4);
	memcpy(&sum, bytes.p + CHECKSUM_OFFSET, 4);
	memcpy(&out->dst.ip, bytes.p + 12, 4);
	memcpy(&out->src.port, bytes.p + 16, 2);
	memcpy(&out->dst.port, bytes.p + 18, 2);
	memcpy(&out->src.ip, bytes.p + 20, 4);
	out->flags = (unsigned char)bytes.p[FLAGS_OFFSET];
	memcpy(out->data, bytes.p + TESTBED_HEADER_LEN, len);
	out->data[len] = '\0';
	h->counts.checks++;
	/* RSTs that the balancers and agents create have no checksum. */
	if (sum != compute_checksum(bytes.p, bytes.len) &&
	    !(sum == 0 && len == 0))
		h->counts.corrupted++;
	return true;
}
