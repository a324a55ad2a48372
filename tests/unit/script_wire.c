#include "script.h"

#include "codec/coap.h"
#include "codec/wire.h"

#include <stdio.h>
#include <string.h>

static struct keyring
make_keyring(unsigned first, unsigned second)
{
	struct keyring k = {.count = second == 0 ? 1 : 2};

	memset(k.keys[0], (int)first, KEY_LEN);
	memset(k.keys[1], (int)second, KEY_LEN);
	return k;
}

static size_t
encode_sample(const struct keyring *k, uint8_t *buf, size_t cap)
{
	struct msg m = {.kind = MSG_HANDOVER, .from = 3, .incarnation = 9};

	m.u.handover = (struct msg_handover){.mode = HANDOVER_MOVE,
	    .flow = {42, 7},
	    .token = {.bytes = {1, 2}, .len = 2},
	    .observe = 77,
	    .request = str_of("request")};
	return wire_encode(k, &m, buf, cap);
}

/* keys SIGNER SIGNER2 READER READER2 */
void
do_keys(const char *arg, const char *body)
{
	static const char *const names[] = {
	    "ok", "unauthenticated", "unknown kind", "malformed"};
	static struct wire_arena arena;
	unsigned a = 0, b = 0, c = 0, d = 0;
	struct keyring signer;
	struct keyring reader;
	uint8_t buf[WIRE_UDP_MAX];
	struct msg m;
	size_t n;

	(void)body;
	sscanf(arg, "%u %u %u %u", &a, &b, &c, &d);
	signer = make_keyring(a, b);
	reader = make_keyring(c, d);
	n = encode_sample(&signer, buf, sizeof(buf));
	script_printf("%s\n", names[wire_decode(&reader,
				  (struct str){(char *)buf, n}, &arena, &m)]);
}

/* Seeds the generator from "SEED COUNT" and returns the count. */
static unsigned
read_seed(const char *arg, struct rng *rng)
{
	unsigned long long seed = 0;
	unsigned count = 0;

	sscanf(arg, "%llu %u", &seed, &count);
	rng_init(rng, seed);
	return count;
}

/* corrupt SEED COUNT: no corrupt frame may be accepted */
void
do_corrupt(const char *arg, const char *body)
{
	static struct wire_arena arena;
	struct keyring k = make_keyring(5, 0);
	struct rng rng;
	unsigned count = read_seed(arg, &rng);
	unsigned accepted = 0;

	(void)body;
	for (unsigned i = 0; i < count; i++) {
		uint8_t buf[WIRE_UDP_MAX];
		size_t n = encode_sample(&k, buf, sizeof(buf));
		struct msg m;

		if (rng_chance(&rng, 300000))
			n = rng_below(&rng, n);
		else
			buf[rng_below(&rng, n)] ^=
			    (uint8_t)(1 + rng_below(&rng, 255));
		accepted += wire_decode(&k, (struct str){(char *)buf, n},
				&arena, &m) == WIRE_OK;
	}
	script_printf("%u of %u accepted\n", accepted, count);
}

/*
 * garbage SEED COUNT: decoding correctly signed frames with a corrupt body, and
 * random CoAP datagrams, must not crash
 */
void
do_garbage(const char *arg, const char *body)
{
	static struct wire_arena arena;
	struct keyring k = make_keyring(5, 0);
	struct rng rng;
	unsigned count = read_seed(arg, &rng);

	(void)body;
	for (unsigned i = 0; i < count; i++) {
		uint8_t buf[WIRE_UDP_MAX];
		size_t n = encode_sample(&k, buf, sizeof(buf));
		size_t at =
		    WIRE_HEADER_LEN + rng_below(&rng, n - WIRE_HEADER_LEN);
		uint8_t text[WIRE_UDP_MAX];
		struct request r;
		struct answer a;
		struct msg m;

		buf[at] ^= (uint8_t)(1 + rng_below(&rng, 255));
		text[0] = buf[0];
		memcpy(text + 1, buf + WIRE_HEADER_LEN, n - WIRE_HEADER_LEN);
		key_sign(&k,
		    (struct str){(char *)text, n - WIRE_HEADER_LEN + 1},
		    buf + 2);
		wire_decode(&k, (struct str){(char *)buf, n}, &arena, &m);
		for (size_t b = 0; b < n; b++)
			buf[b] = (uint8_t)rng_next(&rng);
		buf[0] = (uint8_t)(0x40 | (buf[0] & 0x3f));
		n = rng_below(&rng, n);
		coap_proto.read_request((struct str){(char *)buf, n}, &r);
		coap_proto.read_answer((struct str){(char *)buf, n}, &a);
	}
	script_printf("%u survived\n", count);
}
