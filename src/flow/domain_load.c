#include "flow/domain_load.h"

#include "base/clock.h"
#include "flow/failure_rate.h"
#include "flow/work_time.h"

/** Work of a request that no target reports, in us. */
#define DEFAULT_WORK_US 30000
/** Factor from a failure rate to a cost, as in place.c. */
#define FAILING_COST_FACTOR 4
/** A cold target is slower by this percentage, as in place.c. */
#define COLD_PERCENT 160
/** Requests per slot beyond which a domain refuses the excess in the long run,
 * times 1000: short queues are below it. */
#define REFUSING_MILLI 1250
/** Worth lost by a late answer, and by one that is refused, in thousandths. */
#define LATE_LOSS_MILLI 700
#define REFUSED_LOSS_MILLI 1000

static struct domain_load *
find_load(struct domain_loads *l, const struct agent_view *v)
{
	if (v->domain_tag == l->near.tag)
		return &l->near;
	for (size_t i = 0; i < l->count; i++) {
		if (l->remote[i].tag == v->domain_tag)
			return &l->remote[i];
	}
	if (l->count == DOMAIN_LOAD_MAX)
		return NULL;
	l->remote[l->count].tag = v->domain_tag;
	l->remote[l->count].name = v->heartbeat.domain;
	return &l->remote[l->count++];
}

static bool
is_report_old(const struct agent_view *v, uint64_t now)
{
	return now > v->last_heartbeat_ns +
			 (v->heartbeat.period_ms + AGENT_HEARTBEAT_GRACE_MS) *
			     NS_PER_MS;
}

static void
add_load(struct domain_load *d, const struct agent_view *v, bool is_near,
    uint64_t now)
{
	const struct msg_agent *hb = &v->heartbeat;
	uint64_t slots_milli =
	    (hb->slots == 0 ? 1 : hb->slots) * UINT64_C(1000);

	/* What a cold target elsewhere bears is for its own callers. */
	if (now < v->cold_until_ns && !is_near)
		return;
	if (now < v->cold_until_ns)
		slots_milli = slots_milli * 100 / COLD_PERCENT;
	if (is_report_old(v, now)) {
		d->stale_milli += slots_milli;
		return;
	}
	d->slots_milli += slots_milli;
	d->load_milli += hb->busy_milli;
	if (hb->failing >= FAILING_THRESHOLD_MILLI)
		d->failing_cost +=
		    slots_milli * hb->failing * FAILING_COST_FACTOR;
	if (hb->work_us == 0 || hb->work_samples < WORK_SAMPLES_MIN)
		return;
	d->work_us += (uint64_t)hb->work_us * hb->work_samples;
	d->samples += hb->work_samples;
}

static void
finish_load(struct domain_load *d, uint64_t mean_work_us)
{
	d->work_us = d->samples == 0 ? mean_work_us : d->work_us / d->samples;
	if (d->slots_milli > 0)
		d->failing_cost /= d->slots_milli;
}

bool
dl_is_fresh(const struct domain_load *d)
{
	return d->slots_milli > 0 && d->slots_milli >= d->stale_milli;
}

void
dl_measure(struct domain_loads *l, uint32_t own_tag,
    const struct agent_group *g, const struct evacuation *evacuated,
    uint64_t now)
{
	uint64_t work_us = 0;
	uint64_t samples = 0;

	*l = (struct domain_loads){.near = {.tag = own_tag}};
	for (size_t i = 0; g != NULL && i < g->count; i++) {
		const struct agent_view *v = g->members[i];
		struct domain_load *d;

		if (v->heartbeat.state != TARGET_READY ||
		    agent_is_silent(v, now) || now < v->avoid_until_ns ||
		    (evacuated != NULL &&
			evacuation_contains(evacuated, v->domain_tag)))
			continue;
		d = find_load(l, v);
		if (d != NULL)
			add_load(d, v, d == &l->near, now);
	}
	work_us = l->near.work_us;
	samples = l->near.samples;
	for (size_t i = 0; i < l->count; i++) {
		work_us += l->remote[i].work_us;
		samples += l->remote[i].samples;
	}
	work_us = samples == 0 ? DEFAULT_WORK_US : work_us / samples;
	finish_load(&l->near, work_us);
	for (size_t i = 0; i < l->count; i++)
		finish_load(&l->remote[i], work_us);
}

const struct domain_load *
dl_find_remote(const struct domain_loads *l, uint32_t tag)
{
	for (size_t i = 0; i < l->count; i++) {
		if (l->remote[i].tag == tag)
			return &l->remote[i];
	}
	return NULL;
}

uint64_t
dl_wait_us(const struct domain_load *d, uint64_t load_milli)
{
	uint64_t per_slot =
	    d->slots_milli == 0 ? 0 : load_milli * 1000 / d->slots_milli;

	return d->work_us * per_slot / 1000 * per_slot / (1000 + per_slot);
}

/*
 * Chance that a wait exceeds the time left, times 1000: (1 + y / 8)^-8 for a
 * time left of y mean waits. It falls nearly as fast as that of an exponential
 * wait, and less far out, since some requests work several times as long.
 */
static uint64_t
late_milli(uint64_t mean_us, uint64_t left_us)
{
	uint64_t part;

	if (mean_us == 0)
		return 0;
	part = mean_us * 1000 / (mean_us + left_us / 8);
	for (int i = 0; i < 3; i++)
		part = part * part / 1000;
	return part;
}

uint64_t
dl_cost_us(
    const struct domain_load *d, uint64_t load_milli, uint64_t latency_us)
{
	uint64_t mean_us = dl_wait_us(d, load_milli);
	uint64_t left_us =
	    latency_us > d->work_us ? latency_us - d->work_us : 0;
	uint64_t full_milli = d->slots_milli * REFUSING_MILLI / 1000;
	uint64_t loss_milli =
	    late_milli(mean_us, left_us) * LATE_LOSS_MILLI / 1000;

	if (load_milli > full_milli)
		loss_milli +=
		    (load_milli - full_milli) * REFUSED_LOSS_MILLI / load_milli;
	return mean_us + latency_us * loss_milli / 1000 +
	       d->work_us * d->failing_cost / 1000;
}
