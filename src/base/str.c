#include "base/str.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct str
str_of(const char *text)
{
	return (struct str){text, text == NULL ? 0 : strlen(text)};
}

bool
str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.p, b.p, a.len) == 0);
}

bool
str_is(struct str a, const char *text)
{
	return str_eq(a, str_of(text));
}

void
str_copy(char *dst, size_t cap, struct str src)
{
	size_t n = src.len < cap - 1 ? src.len : cap - 1;

	if (n > 0)
		memcpy(dst, src.p, n);
	dst[n] = '\0';
}

uint8_t *
str_dup(struct str src)
{
	uint8_t *p = mem_new(src.len + 1);

	if (src.len > 0)
		memcpy(p, src.p, src.len);
	return p;
}

bool
str_parse_uint(struct str s, uint64_t max, uint64_t *out)
{
	uint64_t v = 0;

	if (s.len == 0 || s.len > 19)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return false;
		v = v * 10 + (uint64_t)(s.p[i] - '0');
	}
	if (v > max)
		return false;
	*out = v;
	return true;
}

bool
str_is_text(struct str s)
{
	json_t *text = s.len == 0 ? NULL : json_stringn(s.p, s.len);
	bool ok =
	    s.len == 0 || (text != NULL && memchr(s.p, '\0', s.len) == NULL);

	json_decref(text);
	return ok;
}

bool
addr_parse(struct str text, struct addr *out)
{
	const char *colon;
	char host[16];
	struct in_addr in;
	uint64_t port;
	struct str tail;

	colon = text.len == 0 ? NULL : memchr(text.p, ':', text.len);
	if (colon == NULL || (size_t)(colon - text.p) >= sizeof(host))
		return false;
	str_copy(
	    host, sizeof(host), (struct str){text.p, (size_t)(colon - text.p)});
	tail = (struct str){colon + 1, text.len - (size_t)(colon + 1 - text.p)};
	if (inet_pton(AF_INET, host, &in) != 1)
		return false;
	if (!str_parse_uint(tail, UINT16_MAX, &port) || port == 0)
		return false;
	out->ip = ntohl(in.s_addr);
	out->port = (uint16_t)port;
	return true;
}

const char *
addr_text(struct addr a, char buf[ADDR_TEXT_MAX])
{
	snprintf(buf, ADDR_TEXT_MAX, "%u.%u.%u.%u:%u", a.ip >> 24,
	    (a.ip >> 16) & 0xff, (a.ip >> 8) & 0xff, a.ip & 0xff, a.port);
	return buf;
}

uint64_t
addr_pack(struct addr a)
{
	return (uint64_t)a.ip << 16 | a.port;
}

struct addr
addr_unpack(uint64_t v)
{
	return (struct addr){(uint32_t)(v >> 16), (uint16_t)v};
}

bool
addr_eq(struct addr a, struct addr b)
{
	return a.ip == b.ip && a.port == b.port;
}

void *
mem_new(size_t size)
{
	void *p = calloc(1, size);

	if (p == NULL)
		abort();
	return p;
}

void *
mem_grow(void *p, size_t count, size_t size)
{
	void *q = reallocarray(p, count, size);

	if (q == NULL)
		abort();
	return q;
}
