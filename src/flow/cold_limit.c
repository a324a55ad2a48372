#include "flow/cold_limit.h"

#include "base/clock.h"

/** Factor of a balancer's share of the limit that it sends. */
#define SHARE_FACTOR 2

void
cold_limit_init(
    struct cold_limit *l, const struct cold_bounds *bounds, uint64_t now)
{
	*l = (struct cold_limit){.bounds = *bounds, .started_ns = now};
	if (l->bounds.slack > COLD_TIMES_MAX)
		l->bounds.slack = COLD_TIMES_MAX;
}

bool
cold_limit_learn(struct cold_limit *l, uint64_t version, uint32_t per_s_milli)
{
	bool changed;

	if (!l->bounds.active || version <= l->version)
		return false;
	changed = l->version == 0 || l->per_s_milli != per_s_milli;
	l->version = version;
	l->per_s_milli = per_s_milli;
	return changed;
}

/** At most `most` openings in any time of span_ns. */
struct window {
	uint64_t most;
	uint64_t span_ns;
};

static struct window
get_window(const struct cold_limit *l)
{
	uint64_t rate = l->per_s_milli;
	uint64_t parts;
	struct window w;

	if (l->version == 0)
		return (struct window){l->bounds.slack, NS_PER_S};
	if (l->bounds.overage_milli < 1000)
		rate = rate * l->bounds.overage_milli / 1000;
	if (rate == 0)
		return (struct window){0, NS_PER_S};
	/* A fraction is rounded up, and the span is longer than a second by as
	 * much. A figure above the number of times kept is divided, as is the
	 * second. */
	parts = (rate / 1000 + COLD_TIMES_MAX - 1) / COLD_TIMES_MAX;
	if (parts > 1)
		return (struct window){rate / 1000 / parts, NS_PER_S / parts};
	w.most = (rate + 999) / 1000;
	if (w.most > COLD_TIMES_MAX)
		w.most = COLD_TIMES_MAX;
	w.span_ns = w.most * 1000 * NS_PER_S / rate;
	if (w.span_ns < NS_PER_S)
		w.span_ns = NS_PER_S;
	return w;
}

bool
cold_limit_allows(const struct cold_limit *l, uint64_t now)
{
	struct window w = get_window(l);
	uint64_t earlier;

	if (!l->bounds.active || (l->version != 0 && l->per_s_milli == 0))
		return true;
	/* A previous process of the agent may have used the limit up. */
	if (now < l->started_ns + NS_PER_S && w.most > l->bounds.slack)
		w = (struct window){l->bounds.slack, NS_PER_S};
	if (w.most == 0)
		return false;
	if (l->count < w.most)
		return true;
	earlier =
	    l->times[(l->next + COLD_TIMES_MAX - w.most) % COLD_TIMES_MAX];
	return now > earlier + w.span_ns;
}

void
cold_limit_record(struct cold_limit *l, uint64_t now)
{
	l->times[l->next] = now;
	l->next = (l->next + 1) % COLD_TIMES_MAX;
	l->count++;
}

uint64_t
cold_limit_interval_ns(uint32_t per_s_milli, uint64_t balancers)
{
	if (per_s_milli == 0)
		return 0;
	return balancers * 1000 * NS_PER_S /
	       ((uint64_t)per_s_milli * SHARE_FACTOR);
}
