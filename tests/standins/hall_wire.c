#include "hall.h"

#include "base/clock.h"

#include <string.h>

#define AT_SUM 8
#define AT_FLAGS 26
#define AT_PAD 27
#define BIT_BOUNCED 4

uint64_t
hall_now_ms(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c) / NS_PER_MS;
}

struct addr
hall_addr(const struct hall *h, unsigned kind, unsigned n, uint16_t port)
{
	return (struct addr){
	    0x7f000000U | h->net << 16 | kind << 8 | (n + 1), port};
}

struct addr
hall_service_addr(size_t service)
{
	return (struct addr){0xc6120001U + (uint32_t)service, 443};
}

const char *
hall_service_name(size_t service)
{
	return service == 0 ? "desk" : "store";
}

/* Over all but the sum itself, and what may be changed on the way. */
static uint32_t
sum_of(const char *bytes, size_t len)
{
	uint32_t sum = 2166136261U;

	for (size_t i = 0; i < len; i++) {
		unsigned char b = (unsigned char)bytes[i];

		if ((i >= AT_SUM && i < AT_SUM + 4) ||
		    (i >= AT_PAD && i < HALL_HEAD))
			continue;
		if (i == AT_FLAGS)
			b &= (unsigned char)~BIT_BOUNCED;
		sum = (sum ^ b) * 16777619U;
	}
	return sum;
}

size_t
hall_write(const struct hall_packet *p, char *buf)
{
	uint16_t len = (uint16_t)strlen(p->data);
	uint32_t sum;

	memset(buf, 0, HALL_HEAD);
	memcpy(buf, &p->seq, 4);
	memcpy(buf + 4, &p->ack, 4);
	memcpy(buf + 12, &p->dst.ip, 4);
	memcpy(buf + 16, &p->src.port, 2);
	memcpy(buf + 18, &p->dst.port, 2);
	memcpy(buf + 20, &p->src.ip, 4);
	memcpy(buf + 24, &len, 2);
	buf[AT_FLAGS] = (char)p->flags;
	memcpy(buf + HALL_HEAD, p->data, len);
	sum = sum_of(buf, HALL_HEAD + len);
	memcpy(buf + AT_SUM, &sum, 4);
	return HALL_HEAD + (size_t)len;
}

bool
hall_read(struct hall *h, struct str bytes, struct hall_packet *out)
{
	uint32_t sum;
	size_t len = bytes.len - HALL_HEAD;

	if (bytes.len < HALL_HEAD || len >= sizeof(out->data))
		return false;
	memcpy(&out->seq, bytes.p, 4);
	memcpy(&out->ack, bytes.p + 4, 4);
	memcpy(&sum, bytes.p + AT_SUM, 4);
	memcpy(&out->dst.ip, bytes.p + 12, 4);
	memcpy(&out->src.port, bytes.p + 16, 2);
	memcpy(&out->dst.port, bytes.p + 18, 2);
	memcpy(&out->src.ip, bytes.p + 20, 4);
	out->flags = (unsigned char)bytes.p[AT_FLAGS];
	memcpy(out->data, bytes.p + HALL_HEAD, len);
	out->data[len] = '\0';
	h->counts.checks++;
	/* A reset of the system's own carries no sum. */
	if (sum != sum_of(bytes.p, bytes.len) && !(sum == 0 && len == 0))
		h->counts.changed++;
	return true;
}
