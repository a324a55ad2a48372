#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/** Wait before a registration that was not answered is sent again. */
#define REGISTER_TIMEOUT_NS (1000 * NS_PER_MS)
/** Time after which a registration is repeated: the target may have lost it. */
#define REFRESH_INTERVAL_NS (10 * NS_PER_S)

/** Observe sequence numbers have 24 bits (RFC 7641). */
#define OBSERVE_SEQ_MASK 0xffffff
/** A notification this much later is newer whatever its number (RFC 7641, 3.4).
 */
#define OBSERVE_ORDER_NS (128 * NS_PER_S)

struct subscription_entry {
	struct subscription sub;
	UT_hash_handle hh;
	UT_hash_handle hh_id;
};

struct subscription_table {
	struct subscription_entry *by_digest;
	struct subscription_entry *by_id;
};

struct subscription_table *
subscription_table_new(void)
{
	return mem_new(sizeof(struct subscription_table));
}

static void
entry_delete(struct subscription_table *t, struct subscription_entry *entry)
{
	HASH_DELETE(hh, t->by_digest, entry);
	HASH_DELETE(hh_id, t->by_id, entry);
	free(entry->sub.request);
	free(entry->sub.latest);
	free(entry);
}

void
subscription_table_free(struct subscription_table *t)
{
	struct subscription_entry *entry;
	struct subscription_entry *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->by_digest, entry, tmp)
	{
		entry_delete(t, entry);
	}
	free(t);
}

struct subscription *
subscription_find(const struct agent *a, const uint8_t *digest)
{
	struct subscription_entry *entry;

	HASH_FIND(hh, a->sources->by_digest, digest, DIGEST_LEN, entry);
	return entry == NULL ? NULL : &entry->sub;
}

static struct subscription *
add_subscription(struct agent *a, const uint8_t *digest, struct str request,
    uint64_t exchange_id)
{
	struct subscription_entry *entry = mem_new(sizeof(*entry));

	memcpy(entry->sub.digest, digest, DIGEST_LEN);
	entry->sub.exchange_id = exchange_id;
	entry->sub.request = str_dup(request);
	entry->sub.request_len = request.len;
	entry->sub.entry = entry;
	HASH_ADD(hh, a->sources->by_digest, sub.digest, DIGEST_LEN, entry);
	HASH_ADD(
	    hh_id, a->sources->by_id, sub.exchange_id, sizeof(uint64_t), entry);
	return &entry->sub;
}

struct str
subscription_latest(const struct subscription *s)
{
	return (struct str){(const char *)s->latest, s->latest_len};
}

static void
set_latest(struct subscription *s, const struct answer *ans, struct str dgram,
    uint64_t now)
{
	free(s->latest);
	s->latest = str_dup(dgram);
	s->latest_len = dgram.len;
	s->content_hash = ans->content_hash;
	s->observe = ans->observe;
	s->latest_ns = now;
}

static void
send_registration(struct agent *a, struct subscription *s, bool deregister)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	struct target_message out = {
	    .request = {(const char *)s->request, s->request_len},
	    .exchange_id = s->exchange_id,
	    .mid = agt_next_target_mid(a),
	    .deadline_ms = a->cfg.service.deadline_ms,
	    .observe = deregister ? OBSERVE_DEREGISTER : OBSERVE_KEEP,
	};
	size_t n = a->proto->write_target_message(&out, buf, sizeof(buf));

	if (n > 0)
		a->ops.send_target(a->ops.ctx, (struct str){(char *)buf, n});
}

static void
register_at_target(struct agent *a, struct subscription *s, uint64_t now)
{
	s->next_register_ns =
	    now + (s->established ? REFRESH_INTERVAL_NS : REGISTER_TIMEOUT_NS);
	s->refresh_pending = s->established;
	send_registration(a, s, false);
}

static void
change_exchange_id(
    struct subscription_table *t, struct subscription *s, uint64_t exchange_id)
{
	struct subscription_entry *entry = s->entry;

	HASH_DELETE(hh_id, t->by_id, entry);
	s->exchange_id = exchange_id;
	HASH_ADD(hh_id, t->by_id, sub.exchange_id, sizeof(uint64_t), entry);
}

struct subscription *
subscription_open(struct agent *a, const uint8_t *digest, struct str request,
    uint64_t exchange_id, const struct answer *ans, struct str dgram,
    uint64_t now)
{
	struct subscription *s = subscription_find(a, digest);

	if (s == NULL)
		s = add_subscription(a, digest, request, exchange_id);
	/* The target keeps only the later of two registrations. */
	if (s->exchange_id != exchange_id)
		change_exchange_id(a->sources, s, exchange_id);
	s->established = true;
	s->next_register_ns = now + REFRESH_INTERVAL_NS;
	set_latest(s, ans, dgram, now);
	return s;
}

struct subscription *
subscription_register(
    struct agent *a, const uint8_t *digest, struct str request, uint64_t now)
{
	struct subscription *s = subscription_find(a, digest);

	if (s == NULL)
		s = add_subscription(
		    a, digest, request, exc_next_id(a->exchanges));
	register_at_target(a, s, now);
	return s;
}

void
subscription_end(struct agent *a, struct subscription *s)
{
	send_registration(a, s, true);
	entry_delete(a->sources, s->entry);
}

/* Whether a newer notification arrived earlier (RFC 7641, 3.4). */
static bool
is_stale(const struct subscription *s, const struct answer *ans, uint64_t now)
{
	uint32_t advance = (ans->observe - s->observe) & OBSERVE_SEQ_MASK;

	if (!s->established || !ans->has_observe ||
	    now > s->latest_ns + OBSERVE_ORDER_NS)
		return false;
	return advance > OBSERVE_SEQ_MASK / 2;
}

bool
subscription_handle_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now)
{
	struct subscription_entry *entry;
	struct subscription *s;
	bool repeated;

	HASH_FIND(hh_id, a->sources->by_id, &ans->exchange_id,
	    sizeof(ans->exchange_id), entry);
	if (entry == NULL)
		return false;
	s = &entry->sub;
	if (!ans->success || is_stale(s, ans, now))
		return true;
	repeated = s->refresh_pending && ans->content_hash == s->content_hash;
	s->refresh_pending = false;
	s->established = true;
	s->next_register_ns = now + REFRESH_INTERVAL_NS;
	set_latest(s, ans, dgram, now);
	feed_handle_target_state(a, s, !repeated, now);
	return true;
}

void
subscription_handle_target_up(struct agent *a)
{
	struct subscription_entry *entry;
	struct subscription_entry *tmp;

	HASH_ITER(hh, a->sources->by_digest, entry, tmp)
	{
		entry->sub.established = false;
		entry->sub.next_register_ns = 0;
	}
}

void
subscription_tick(struct agent *a, uint64_t now)
{
	struct subscription_entry *entry;
	struct subscription_entry *tmp;

	if (!a->target.up)
		return;
	HASH_ITER(hh, a->sources->by_digest, entry, tmp)
	{
		if (now >= entry->sub.next_register_ns)
			register_at_target(a, &entry->sub, now);
	}
}
