#include "task/store_internal.h"

#include "base/event.h"

#include <stdlib.h>

static void
write_again(struct store *s)
{
	if (s->self.name[0] != '\0') {
		s->entry_exists = false;
		s->self.revision = 0;
		operation_schedule(&s->announce);
	}
	/* What counts as stored is not; the next record has all of it. */
	if (s->record_name[0] != '\0' && !s->record_read.pending &&
	    !s->record_write.pending)
		s->callbacks->record_written(s->ctx, false);
}

/*
 * Revisions are given out again after the store has come back from a copy, so
 * that none that was read before means anything. A watch from one could miss
 * what has been written since.
 */
void
store_set_era(struct store *s, uint64_t era)
{
	uint64_t previous = s->era;

	if (era <= previous)
		return;
	s->era = era;
	if (previous == 0)
		return;
	ctr_inc(s->ctr, CTR_STORE_ERAS);
	event("store_era", "s:I, s:I", "era", (json_int_t)era, "previous_era",
	    (json_int_t)previous);
	s->revision = 0;
	s->evacuation_reader = (struct evacuation_reader){0};
	write_again(s);
}

void
store_note_era(struct store *s, const char *text)
{
	store_set_era(s, strtoull(text, NULL, 10));
}

uint64_t
store_era(const struct store *s)
{
	return s->era;
}

bool
store_is_outdated(const struct operation *op)
{
	return op->era != 0 && op->era != op->owner->era;
}
