#include "request/permit.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/*
 * Layout of a permit, 40 bytes: issuer id 8, incarnation 8, nonce 4, expiry
 * in ms of the issuer's clock 4, MAC 16.
 */
#define OFF_ID 0
#define OFF_INCARNATION 8
#define OFF_NONCE 16
#define OFF_EXPIRY 20
#define OFF_MAC 24
#define MAC_LEN 16
#define NS_PER_EXPIRY_UNIT UINT64_C(1000000)

struct slot {
	struct run run;
	UT_hash_handle hh;
	UT_hash_handle hh_request;
};

struct permit_book {
	uint64_t id;
	uint64_t incarnation;
	uint8_t key[crypto_shorthash_siphashx24_KEYBYTES];
	uint32_t next_nonce;
	size_t capacity;
	struct slot *slots;
	struct slot *by_request;
};

struct permit_book *
permit_book_new(
    uint64_t id, uint64_t incarnation, struct rng *rng, size_t capacity)
{
	struct permit_book *b = mem_new(sizeof(*b));
	uint64_t key[2];

	b->id = id;
	b->incarnation = incarnation;
	b->capacity = capacity;
	b->next_nonce = 1;
	key[0] = rng_next(rng);
	key[1] = rng_next(rng);
	memcpy(b->key, key, sizeof(b->key));
	return b;
}

static void
slot_free(struct permit_book *b, struct slot *s)
{
	HASH_DELETE(hh, b->slots, s);
	HASH_DELETE(hh_request, b->by_request, s);
	free(s->run.answer);
	free(s);
}

void
permit_book_free(struct permit_book *b)
{
	struct slot *s;
	struct slot *tmp;

	if (b == NULL)
		return;
	HASH_ITER(hh, b->slots, s, tmp)
	{
		slot_free(b, s);
	}
	sodium_memzero(b->key, sizeof(b->key));
	free(b);
}

static void
write_mac(const struct permit_book *b, const struct flow_key *flow,
    const struct request *r, const uint8_t *permit, uint8_t *mac)
{
	uint8_t text[OFF_MAC + sizeof(*flow) + DIGEST_LEN];

	memcpy(text, permit, OFF_MAC);
	memcpy(text + OFF_MAC, flow, sizeof(*flow));
	memcpy(text + OFF_MAC + sizeof(*flow), r->digest, DIGEST_LEN);
	crypto_shorthash_siphashx24(mac, text, sizeof(text), b->key);
}

static uint64_t
request_hash(const struct flow_key *flow, const struct request *r)
{
	struct {
		struct flow_key flow;
		uint8_t digest[DIGEST_LEN];
		uint8_t token[MSG_TOKEN_MAX];
		uint32_t mid;
		uint32_t token_len;
	} k = {.flow = *flow, .mid = r->mid, .token_len = r->token.len};

	memcpy(k.digest, r->digest, DIGEST_LEN);
	memcpy(k.token, r->token.bytes, r->token.len);
	return XXH3_64bits(&k, sizeof(k));
}

static void
write_permit(const struct permit_book *b, const struct flow_key *flow,
    const struct request *r, const struct run *run, uint8_t *out)
{
	uint32_t expiry = (uint32_t)(run->expiry_ns / NS_PER_EXPIRY_UNIT);

	memcpy(out + OFF_ID, &b->id, 8);
	memcpy(out + OFF_INCARNATION, &b->incarnation, 8);
	memcpy(out + OFF_NONCE, &run->nonce, 4);
	memcpy(out + OFF_EXPIRY, &expiry, 4);
	write_mac(b, flow, r, out, out + OFF_MAC);
}

bool
permit_issue(struct permit_book *b, const struct flow_key *flow,
    const struct request *r, uint64_t now, uint8_t *out)
{
	uint64_t hash = request_hash(flow, r);
	struct slot *s;

	HASH_FIND(hh_request, b->by_request, &hash, sizeof(hash), s);
	if (s == NULL) {
		if (HASH_COUNT(b->slots) >= b->capacity)
			return false;
		s = mem_new(sizeof(*s));
		s->run.nonce = b->next_nonce++;
		s->run.request_hash = hash;
		s->run.expiry_ns = now + PERMIT_LIFE_NS;
		HASH_ADD(hh, b->slots, run.nonce, sizeof(uint32_t), s);
		HASH_ADD(hh_request, b->by_request, run.request_hash,
		    sizeof(uint64_t), s);
	}
	write_permit(b, flow, r, &s->run, out);
	return true;
}

struct run *
permit_of_request(
    struct permit_book *b, const struct flow_key *flow, const struct request *r)
{
	uint64_t hash = request_hash(flow, r);
	struct slot *s;

	HASH_FIND(hh_request, b->by_request, &hash, sizeof(hash), s);
	return s == NULL ? NULL : &s->run;
}

void
permit_issuer(const uint8_t *permit, uint64_t *id, uint64_t *incarnation)
{
	memcpy(id, permit + OFF_ID, 8);
	memcpy(incarnation, permit + OFF_INCARNATION, 8);
}

enum permit_verdict
permit_read(struct permit_book *b, const struct flow_key *flow,
    const struct request *r, struct run **run)
{
	uint8_t mac[MAC_LEN];
	uint64_t id;
	uint64_t incarnation;
	uint32_t nonce;
	struct slot *s;

	permit_issuer(r->permit, &id, &incarnation);
	if (id != b->id)
		return PERMIT_OTHER;
	if (incarnation != b->incarnation)
		return PERMIT_STALE;
	write_mac(b, flow, r, r->permit, mac);
	if (sodium_memcmp(mac, r->permit + OFF_MAC, MAC_LEN) != 0)
		return PERMIT_FORGED;
	memcpy(&nonce, r->permit + OFF_NONCE, 4);
	HASH_FIND(hh, b->slots, &nonce, sizeof(nonce), s);
	if (s == NULL)
		return PERMIT_OLD;
	*run = &s->run;
	return PERMIT_MINE;
}

void
permit_void(struct run *run, const char *reason)
{
	if (run->state == RUN_VOID)
		return;
	if (run->starts != 0)
		abort();
	run->state = RUN_VOID;
	run->reason = reason;
}

void
permit_shed(struct run *run, const char *reason)
{
	run->state = RUN_VOID;
	run->reason = reason;
}

void
permit_start(struct run *run)
{
	/* A void or started permit that starts would break at-most-once. */
	if (run->state != RUN_OPEN || run->starts != 0)
		abort();
	run->starts++;
}

void
permit_done(struct run *run, struct str answer)
{
	assert(run->starts == 1);
	free(run->answer);
	run->answer = str_dup(answer);
	run->answer_len = answer.len;
	run->state = RUN_DONE;
}

void
permit_expire(struct permit_book *b, uint64_t now)
{
	struct slot *s;
	struct slot *tmp;

	/* Insertion order is expiry order. */
	HASH_ITER(hh, b->slots, s, tmp)
	{
		if (now < s->run.expiry_ns + PERMIT_KEEP_NS)
			return;
		if (s->run.state != RUN_OPEN)
			slot_free(b, s);
	}
}

size_t
permit_outstanding(const struct permit_book *b, uint64_t now)
{
	struct slot *s;
	struct slot *tmp;
	size_t n = 0;

	HASH_ITER(hh, b->slots, s, tmp)
	{
		if (s->run.state == RUN_ISSUED && now < s->run.expiry_ns)
			n++;
	}
	return n;
}

size_t
permit_count(const struct permit_book *b)
{
	return HASH_COUNT(b->slots);
}
