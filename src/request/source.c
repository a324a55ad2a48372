#include "request/source.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/** Wait for the target's answer to a registration. */
#define REGISTER_NS (1000 * NS_PER_MS)
/** A registration is repeated after this: the target may have lost it. */
#define REFRESH_NS (10 * NS_PER_S)

/** Sequence numbers are 24 bits, and mean nothing after this silence. */
#define OBSERVE_MASK 0xffffff
#define STALE_NS (128 * NS_PER_S)

struct slot {
	struct source s;
	UT_hash_handle hh;
	UT_hash_handle hh_number;
};

struct source_table {
	struct slot *by_digest;
	struct slot *by_number;
};

struct source_table *
source_table_new(void)
{
	return mem_new(sizeof(struct source_table));
}

static void
slot_delete(struct source_table *t, struct slot *slot)
{
	HASH_DELETE(hh, t->by_digest, slot);
	HASH_DELETE(hh_number, t->by_number, slot);
	free(slot->s.request);
	free(slot->s.latest);
	free(slot);
}

void
source_table_free(struct source_table *t)
{
	struct slot *slot;
	struct slot *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->by_digest, slot, tmp)
	{
		slot_delete(t, slot);
	}
	free(t);
}

struct source *
source_find(const struct agent *a, const uint8_t *digest)
{
	struct slot *slot;

	HASH_FIND(hh, a->sources->by_digest, digest, DIGEST_LEN, slot);
	return slot == NULL ? NULL : &slot->s;
}

static struct source *
add(struct agent *a, const uint8_t *digest, struct str request, uint64_t number)
{
	struct slot *slot = mem_new(sizeof(*slot));

	memcpy(slot->s.digest, digest, DIGEST_LEN);
	slot->s.number = number;
	slot->s.request = str_dup(request);
	slot->s.request_len = request.len;
	slot->s.index = slot;
	HASH_ADD(hh, a->sources->by_digest, s.digest, DIGEST_LEN, slot);
	HASH_ADD(
	    hh_number, a->sources->by_number, s.number, sizeof(uint64_t), slot);
	return &slot->s;
}

struct str
source_latest(const struct source *s)
{
	return (struct str){(const char *)s->latest, s->latest_len};
}

static void
set_latest(
    struct source *s, const struct answer *ans, struct str dgram, uint64_t now)
{
	free(s->latest);
	s->latest = str_dup(dgram);
	s->latest_len = dgram.len;
	s->content_hash = ans->content_hash;
	s->observe = ans->observe;
	s->heard_ns = now;
}

static void
send_registration(struct agent *a, struct source *s, bool stop)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	struct target_message out = {
	    .request = {(const char *)s->request, s->request_len},
	    .exchange_id = s->number,
	    .mid = agt_target_mid(a),
	    .deadline_ms = a->cfg.service.deadline_ms,
	    .observe = stop ? OBSERVE_DEREGISTER : OBSERVE_KEEP,
	};
	size_t n = a->proto->write_target_message(&out, buf, sizeof(buf));

	if (n > 0)
		a->ops.send_target(a->ops.ctx, (struct str){(char *)buf, n});
}

static void
enroll(struct agent *a, struct source *s, uint64_t now)
{
	s->due_ns = now + (s->open ? REFRESH_NS : REGISTER_NS);
	s->refreshing = s->open;
	send_registration(a, s, false);
}

static void
renumber(struct source_table *t, struct source *s, uint64_t number)
{
	struct slot *slot = s->index;

	HASH_DELETE(hh_number, t->by_number, slot);
	s->number = number;
	HASH_ADD(hh_number, t->by_number, s.number, sizeof(uint64_t), slot);
}

struct source *
source_opened(struct agent *a, const uint8_t *digest, struct str request,
    uint64_t number, const struct answer *ans, struct str dgram, uint64_t now)
{
	struct source *s = source_find(a, digest);

	if (s == NULL)
		s = add(a, digest, request, number);
	/* Of two registrations the target keeps the later one. */
	if (s->number != number)
		renumber(a->sources, s, number);
	s->open = true;
	s->due_ns = now + REFRESH_NS;
	set_latest(s, ans, dgram, now);
	return s;
}

struct source *
source_want(
    struct agent *a, const uint8_t *digest, struct str request, uint64_t now)
{
	struct source *s = source_find(a, digest);

	if (s == NULL)
		s = add(a, digest, request, exc_number(a->exchanges));
	enroll(a, s, now);
	return s;
}

void
source_end(struct agent *a, struct source *s)
{
	send_registration(a, s, true);
	slot_delete(a->sources, s->index);
}

/* RFC 7641, 3.4: a notification that was overtaken on its way is stale. */
static bool
overtaken(const struct source *s, const struct answer *ans, uint64_t now)
{
	uint32_t ahead = (ans->observe - s->observe) & OBSERVE_MASK;

	if (!s->open || !ans->has_observe || now > s->heard_ns + STALE_NS)
		return false;
	return ahead > OBSERVE_MASK / 2;
}

bool
source_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now)
{
	struct slot *slot;
	struct source *s;
	bool repeated;

	HASH_FIND(hh_number, a->sources->by_number, &ans->exchange_id,
	    sizeof(ans->exchange_id), slot);
	if (slot == NULL)
		return false;
	s = &slot->s;
	if (!ans->success || overtaken(s, ans, now))
		return true;
	repeated = s->refreshing && ans->content_hash == s->content_hash;
	s->refreshing = false;
	s->open = true;
	s->due_ns = now + REFRESH_NS;
	set_latest(s, ans, dgram, now);
	feed_source_answered(a, s, !repeated, now);
	return true;
}

void
source_target_up(struct agent *a)
{
	struct slot *slot;
	struct slot *tmp;

	HASH_ITER(hh, a->sources->by_digest, slot, tmp)
	{
		slot->s.open = false;
		slot->s.due_ns = 0;
	}
}

void
source_tick(struct agent *a, uint64_t now)
{
	struct slot *slot;
	struct slot *tmp;

	if (!a->target.up)
		return;
	HASH_ITER(hh, a->sources->by_digest, slot, tmp)
	{
		if (now >= slot->s.due_ns)
			enroll(a, &slot->s, now);
	}
}
