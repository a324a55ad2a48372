#include "flow/target.h"

#include "base/clock.h"

/** Words missed until a target counts as silent. */
#define WORDS_MISSED 3
/** A target that told its end may still send for this, ms. */
#define ENDING_MS 500

static uint64_t
silence_ns(const struct target *t)
{
	return WORDS_MISSED * t->period_ms * NS_PER_MS;
}

static bool
word_overdue(const struct target *t, uint64_t now)
{
	return now > t->word_ns + silence_ns(t);
}

/* Whether a word belongs to a life that this one followed. */
static bool
earlier_life(const struct target *t, const struct target_word *w, uint64_t now)
{
	/* A clock that went back must not shut a living target out. */
	return w->born_ms < t->word.born_ms && !word_overdue(t, now);
}

static bool
same_life(const struct target *t, const struct target_word *w)
{
	return w->id == t->word.id &&
	       (w->born_ms == t->word.born_ms || w->born_ms == 0);
}

static enum word_result
say_end(struct target *t, const struct target_word *w, uint64_t now)
{
	if (w->id != t->word.id)
		return WORD_OLD;
	if (t->gone_ns == 0)
		t->gone_ns = now;
	return WORD_TAKEN;
}

enum word_result
target_say(struct target *t, const struct target_word *w, uint64_t now)
{
	bool first = t->word.id == 0;
	bool same = !first && same_life(t, w);

	if (w->state == TARGET_ABSENT)
		return say_end(t, w, now);
	if (w->service != t->service || !addr_eq(w->address, t->address))
		return WORD_FOREIGN;
	if (same && w->sequence <= t->word.sequence)
		return WORD_OLD;
	if (!first && !same && earlier_life(t, w, now))
		return WORD_OLD;
	t->word = *w;
	t->word_ns = now;
	t->cold_until_ns = now + w->cold_ms * NS_PER_MS;
	if (same && t->gone_ns != 0)
		return WORD_OLD;
	t->gone_ns = 0;
	t->suspected = false;
	t->refused = false;
	return first || same ? WORD_TAKEN : WORD_NEW_LIFE;
}

void
target_heard(struct target *t, uint64_t now)
{
	t->heard_ns = now;
	t->suspected = false;
	t->refused = false;
}

void
target_refused(struct target *t)
{
	t->refused = true;
}

void
target_suspect(struct target *t, uint64_t given_ns)
{
	if (t->heard_ns < given_ns)
		t->suspected = true;
}

bool
target_told_all(const struct target *t, uint64_t now)
{
	uint64_t before = t->word.sequence > 0 ? t->word.sequence - 1 : 0;

	return now >= t->began_ns + before * t->period_ms * NS_PER_MS;
}

enum target_state
target_state_at(const struct target *t, uint64_t now)
{
	if (t->refused)
		return TARGET_ABSENT;
	if (t->word.id == 0)
		return now > t->began_ns + silence_ns(t) ? TARGET_ABSENT
							 : TARGET_UNKNOWN;
	if (t->gone_ns != 0)
		return TARGET_ABSENT;
	if (t->word.state == TARGET_LEAVING)
		return TARGET_LEAVING;
	if (t->suspected)
		return TARGET_SILENT;
	if (word_overdue(t, now) && now > t->heard_ns + silence_ns(t))
		return TARGET_SILENT;
	return TARGET_READY;
}

bool
target_ended(const struct target *t, uint64_t now)
{
	if (t->refused)
		return true;
	if (t->word.id == 0)
		return target_state_at(t, now) == TARGET_ABSENT &&
		       t->heard_ns == 0;
	return t->gone_ns != 0 && now > t->gone_ns + ENDING_MS * NS_PER_MS;
}
