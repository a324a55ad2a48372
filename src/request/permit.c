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

struct permit_entry {
	struct permit_record record;
	UT_hash_handle hh;
	UT_hash_handle hh_request;
};

struct permit_table {
	uint64_t id;
	uint64_t incarnation;
	uint8_t key[crypto_shorthash_siphashx24_KEYBYTES];
	uint32_t next_nonce;
	size_t capacity;
	struct permit_entry *by_nonce;
	struct permit_entry *by_request;
};

struct permit_table *
permit_table_new(
    uint64_t id, uint64_t incarnation, struct rng *rng, size_t capacity)
{
	struct permit_table *t = mem_new(sizeof(*t));
	uint64_t key[2];

	t->id = id;
	t->incarnation = incarnation;
	t->capacity = capacity;
	t->next_nonce = 1;
	key[0] = rng_next(rng);
	key[1] = rng_next(rng);
	memcpy(t->key, key, sizeof(t->key));
	return t;
}

static void
entry_free(struct permit_table *t, struct permit_entry *e)
{
	HASH_DELETE(hh, t->by_nonce, e);
	HASH_DELETE(hh_request, t->by_request, e);
	free(e->record.answer);
	free(e);
}

void
permit_table_free(struct permit_table *t)
{
	struct permit_entry *e;
	struct permit_entry *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->by_nonce, e, tmp)
	{
		entry_free(t, e);
	}
	sodium_memzero(t->key, sizeof(t->key));
	free(t);
}

static void
write_mac(const struct permit_table *t, const struct flow_key *flow,
    const struct request *r, const uint8_t *permit, uint8_t *mac)
{
	uint8_t text[OFF_MAC + sizeof(*flow) + DIGEST_LEN];

	memcpy(text, permit, OFF_MAC);
	memcpy(text + OFF_MAC, flow, sizeof(*flow));
	memcpy(text + OFF_MAC + sizeof(*flow), r->digest, DIGEST_LEN);
	crypto_shorthash_siphashx24(mac, text, sizeof(text), t->key);
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
write_permit(const struct permit_table *t, const struct flow_key *flow,
    const struct request *r, const struct permit_record *record, uint8_t *out)
{
	uint32_t expiry = (uint32_t)(record->expiry_ns / NS_PER_EXPIRY_UNIT);

	memcpy(out + OFF_ID, &t->id, 8);
	memcpy(out + OFF_INCARNATION, &t->incarnation, 8);
	memcpy(out + OFF_NONCE, &record->nonce, 4);
	memcpy(out + OFF_EXPIRY, &expiry, 4);
	write_mac(t, flow, r, out, out + OFF_MAC);
}

bool
permit_issue(struct permit_table *t, const struct flow_key *flow,
    const struct request *r, uint64_t now, uint8_t *out)
{
	uint64_t hash = request_hash(flow, r);
	struct permit_entry *e;

	HASH_FIND(hh_request, t->by_request, &hash, sizeof(hash), e);
	if (e == NULL) {
		if (HASH_COUNT(t->by_nonce) >= t->capacity)
			return false;
		e = mem_new(sizeof(*e));
		e->record.nonce = t->next_nonce++;
		e->record.request_hash = hash;
		e->record.expiry_ns = now + PERMIT_TTL_NS;
		HASH_ADD(hh, t->by_nonce, record.nonce, sizeof(uint32_t), e);
		HASH_ADD(hh_request, t->by_request, record.request_hash,
		    sizeof(uint64_t), e);
	}
	write_permit(t, flow, r, &e->record, out);
	return true;
}

struct permit_record *
permit_find(struct permit_table *t, const struct flow_key *flow,
    const struct request *r)
{
	uint64_t hash = request_hash(flow, r);
	struct permit_entry *e;

	HASH_FIND(hh_request, t->by_request, &hash, sizeof(hash), e);
	return e == NULL ? NULL : &e->record;
}

void
permit_get_issuer(const uint8_t *permit, uint64_t *id, uint64_t *incarnation)
{
	memcpy(id, permit + OFF_ID, 8);
	memcpy(incarnation, permit + OFF_INCARNATION, 8);
}

enum permit_verdict
permit_verify(struct permit_table *t, const struct flow_key *flow,
    const struct request *r, struct permit_record **record)
{
	uint8_t mac[MAC_LEN];
	uint64_t id;
	uint64_t incarnation;
	uint32_t nonce;
	struct permit_entry *e;

	permit_get_issuer(r->permit, &id, &incarnation);
	if (id != t->id)
		return PERMIT_OTHER_ISSUER;
	if (incarnation != t->incarnation)
		return PERMIT_OLD_INCARNATION;
	write_mac(t, flow, r, r->permit, mac);
	if (sodium_memcmp(mac, r->permit + OFF_MAC, MAC_LEN) != 0)
		return PERMIT_FORGED;
	memcpy(&nonce, r->permit + OFF_NONCE, 4);
	HASH_FIND(hh, t->by_nonce, &nonce, sizeof(nonce), e);
	if (e == NULL)
		return PERMIT_NO_RECORD;
	*record = &e->record;
	return PERMIT_VALID;
}

void
permit_revoke(struct permit_record *record, const char *reason)
{
	if (record->state == PERMIT_REVOKED)
		return;
	if (record->send_count != 0)
		abort();
	record->state = PERMIT_REVOKED;
	record->reason = reason;
}

void
permit_mark_shed(struct permit_record *record, const char *reason)
{
	record->state = PERMIT_REVOKED;
	record->reason = reason;
}

void
permit_mark_sent(struct permit_record *record)
{
	/* Sending under a revoked or used permit could run a request twice. */
	if (record->state != PERMIT_IN_USE || record->send_count != 0)
		abort();
	record->send_count++;
}

void
permit_set_answer(struct permit_record *record, struct str answer)
{
	assert(record->send_count == 1);
	free(record->answer);
	record->answer = str_dup(answer);
	record->answer_len = answer.len;
	record->state = PERMIT_ANSWERED;
}

void
permit_drop_expired(struct permit_table *t, uint64_t now)
{
	struct permit_entry *e;
	struct permit_entry *tmp;

	/* Records are in the order of insertion, so by expiry. */
	HASH_ITER(hh, t->by_nonce, e, tmp)
	{
		if (now < e->record.expiry_ns + PERMIT_RECORD_RETENTION_NS)
			return;
		if (e->record.state != PERMIT_IN_USE)
			entry_free(t, e);
	}
}

size_t
permit_count_unused(const struct permit_table *t, uint64_t now)
{
	struct permit_entry *e;
	struct permit_entry *tmp;
	size_t n = 0;

	HASH_ITER(hh, t->by_nonce, e, tmp)
	{
		if (e->record.state == PERMIT_ISSUED &&
		    now < e->record.expiry_ns)
			n++;
	}
	return n;
}

size_t
permit_count(const struct permit_table *t)
{
	return HASH_COUNT(t->by_nonce);
}
