#include "decide/submission.h"

#include <stdio.h>
#include <string.h>

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000

static enum sub_action
finish(struct submission *s, enum status_code code, const char *text)
{
	s->outcome.code = code;
	str_copy(s->outcome.message, sizeof(s->outcome.message), str_of(text));
	return SUB_DONE;
}

static enum sub_action
give_up(struct submission *s)
{
	if (s->write_uncertain)
		return finish(s, STATUS_UNKNOWN,
		    "unknown: the platform did not confirm whether the text "
		    "was stored; submit the same text again");
	return finish(s, STATUS_UNAVAILABLE,
	    "not submitted: the platform does not answer");
}

static enum sub_action
back_off(struct submission *s, enum sub_action after_wait)
{
	s->tries++;
	if (s->tries >= s->tries_max)
		return give_up(s);
	s->after_wait = after_wait;
	return SUB_WAIT;
}

unsigned
sub_backoff_ms(const struct submission *s)
{
	unsigned ms = BACKOFF_MIN_MS << (s->tries < 5 ? s->tries : 5);

	return ms < BACKOFF_MAX_MS ? ms : BACKOFF_MAX_MS;
}

enum sub_action
sub_start(struct submission *s, const char *id, unsigned tries_max)
{
	*s = (struct submission){.tries_max = tries_max};
	str_copy(s->id, sizeof(s->id), str_of(id));
	return SUB_READ;
}

/* Submission that stored a version; NULL if it is not in the history. */
static const char *
writer_of(const struct sub_object *o, uint64_t version)
{
	if (o->version == version)
		return o->submission;
	for (size_t i = 0; i < o->history_count; i++) {
		if (o->history[i].version == version)
			return o->history[i].submission;
	}
	return NULL;
}

static void
set_base(struct submission *s, const struct sub_object *o, const char *etag)
{
	size_t n = 0;

	s->has_base = true;
	if (o == NULL)
		return;
	s->base = o->version;
	str_copy(s->etag, sizeof(s->etag), str_of(etag));
	s->base_history[n].version = o->version;
	str_copy(
	    s->base_history[n++].submission, SUB_ID_MAX, str_of(o->submission));
	for (size_t i = 0; i < o->history_count && n < SUB_HISTORY_MAX; i++)
		s->base_history[n++] = o->history[i];
	s->base_history_count = n;
}

static enum sub_action
lost_race(struct submission *s, const struct sub_object *o)
{
	const char *winner = writer_of(o, s->base + 1);
	char text[STATUS_MESSAGE_MAX];

	s->version = s->base + 1;
	if (winner == NULL) {
		if (!s->write_uncertain)
			return finish(s, STATUS_CONFLICT,
			    "refused: many other submissions came first");
		return finish(s, STATUS_UNKNOWN,
		    "unknown: too many later submissions to tell whether "
		    "this one was stored");
	}
	str_copy(s->winner, sizeof(s->winner), str_of(winner));
	snprintf(text, sizeof(text),
	    "refused: submission %s came first, as version %llu", winner,
	    (unsigned long long)s->version);
	return finish(s, STATUS_CONFLICT, text);
}

enum sub_action
sub_on_read(struct submission *s, enum sub_result r,
    const struct sub_object *obj, const char *etag)
{
	const char *writer;

	if (r == SUB_MALFORMED && !s->write_uncertain)
		return finish(s, STATUS_UNAVAILABLE,
		    "not submitted: the configuration in the platform cannot "
		    "be decoded");
	if (r != SUB_OK && r != SUB_MISSING)
		return back_off(s, SUB_READ);
	if (r == SUB_MISSING)
		obj = NULL;
	if (!s->has_base) {
		set_base(s, obj, etag);
		return SUB_WRITE;
	}
	if (obj == NULL || obj->version <= s->base)
		return SUB_WRITE;
	writer = writer_of(obj, s->base + 1);
	if (writer != NULL && strcmp(writer, s->id) == 0) {
		s->version = s->base + 1;
		return finish(s, STATUS_OK, "");
	}
	return lost_race(s, obj);
}

enum sub_action
sub_on_write(struct submission *s, enum sub_result r)
{
	switch (r) {
	case SUB_OK:
		s->version = s->base + 1;
		return finish(s, STATUS_OK, "");
	case SUB_CONFLICT:
		/* The conflicting version may be an earlier write of this
		 * submission whose answer was lost. */
		return SUB_READ;
	case SUB_RATE_LIMITED:
		return back_off(s, SUB_WRITE);
	case SUB_REJECTED:
		if (!s->write_uncertain)
			return finish(s, STATUS_INVALID,
			    "refused: the platform rejected the write");
		return back_off(s, SUB_READ);
	case SUB_MISSING:
	case SUB_MALFORMED:
	case SUB_NO_ANSWER:
		s->write_uncertain = true;
		return back_off(s, SUB_READ);
	}
	return give_up(s);
}

enum sub_action
sub_on_wait(struct submission *s)
{
	return s->after_wait;
}

void
sub_fill_object(
    const struct submission *s, struct str text, struct sub_object *out)
{
	*out = (struct sub_object){.version = s->base + 1, .text = text};
	str_copy(out->submission, sizeof(out->submission), str_of(s->id));
	out->history_count = s->base_history_count;
	memcpy(out->history, s->base_history, sizeof(out->history));
}
