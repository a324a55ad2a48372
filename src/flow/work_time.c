#include "flow/work_time.h"

#include "base/clock.h"

/** Weight of all earlier answers, in answers. With 3 % of the requests taking 7
 * times as long, the mean then varies by 8 %; a target that becomes slower is
 * noticed after some 20 answers. */
#define WINDOW_ANSWERS 64
/** The weight of the samples halves in this time, in ms. A target that gets no
 * requests because it was slow is unknown again after four of them. */
#define HALF_LIFE_MS 5000
/** After this many halvings nothing is left. */
#define HALVINGS_MAX 20
/** Most busy time that counts without an answer, as a multiple of the mean: a
 * target that stands still for a while is not slow afterwards. Two requests of
 * the tail take less. */
#define GAP_FACTOR 16

void
work_time_init(struct work_time *w, uint64_t now)
{
	*w = (struct work_time){.updated_ns = now, .halved_ns = now};
}

static void
halve_weights(struct work_time *w, uint64_t now)
{
	uint64_t halvings = (now - w->halved_ns) / (HALF_LIFE_MS * NS_PER_MS);

	if (halvings == 0)
		return;
	w->halved_ns += halvings * HALF_LIFE_MS * NS_PER_MS;
	halvings = halvings < HALVINGS_MAX ? halvings : HALVINGS_MAX;
	w->busy_ns >>= halvings;
	w->gap_ns >>= halvings;
	w->answers_milli >>= halvings;
}

void
work_time_advance(
    struct work_time *w, uint32_t waiting, uint32_t slots, uint64_t now)
{
	uint64_t busy_ns, limit_ns;

	if (now <= w->updated_ns)
		return;
	busy_ns = (now - w->updated_ns) * (waiting < slots ? waiting : slots);
	w->updated_ns = now;
	halve_weights(w, now);
	if (work_time_samples(w) >= WORK_SAMPLES_MIN) {
		limit_ns =
		    (uint64_t)work_time_mean_us(w) * NS_PER_US * GAP_FACTOR;
		if (w->gap_ns >= limit_ns)
			return;
		if (busy_ns > limit_ns - w->gap_ns)
			busy_ns = limit_ns - w->gap_ns;
	}
	w->busy_ns += busy_ns;
	w->gap_ns += busy_ns;
}

/* Scale the weight of the samples to a number of answers. */
static void
scale_to(struct work_time *w, uint64_t answers_milli)
{
	w->busy_ns = w->busy_ns / w->answers_milli * answers_milli;
	w->gap_ns = w->gap_ns < w->busy_ns ? w->gap_ns : w->busy_ns;
	w->answers_milli = answers_milli;
}

void
work_time_record_answer(struct work_time *w)
{
	w->answers_milli += 1000;
	w->gap_ns = 0;
	if (w->answers_milli > WINDOW_ANSWERS * UINT64_C(1000))
		scale_to(w, WINDOW_ANSWERS * UINT64_C(1000));
}

void
work_time_skip(struct work_time *w, uint64_t now)
{
	w->updated_ns = now;
}

void
work_time_weaken(struct work_time *w)
{
	if (w->answers_milli > WORK_SAMPLES_MIN * UINT64_C(1000))
		scale_to(w, WORK_SAMPLES_MIN * UINT64_C(1000));
}

uint32_t
work_time_mean_us(const struct work_time *w)
{
	uint64_t us;

	if (w->answers_milli < 1000)
		return 0;
	us = w->busy_ns / w->answers_milli * 1000 / NS_PER_US;
	if (us == 0)
		return 1;
	return us < UINT32_MAX ? (uint32_t)us : UINT32_MAX;
}

uint32_t
work_time_samples(const struct work_time *w)
{
	return (uint32_t)(w->answers_milli / 1000);
}
