#include "decide/submission.h"
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBMITTERS 8
#define CALL_LATENCY_NS (8 * NS_PER_MS)
/** Time within which all processes apply an accepted version. */
#define APPLY_LIMIT_NS (8 * NS_PER_S)
#define PLATFORM_WATCHERS 3
#define SEEDS 4

/** An operator that submits a configuration. */
struct submitter {
	bool busy;
	struct submission sub;
	enum sub_action call;
	struct sub_object read;
	enum sub_result result;
	unsigned serial;
	unsigned life;
};

/** Record of a configuration version. */
struct version {
	char writer[SUB_ID_MAX];
	uint64_t accepted_ns; /**< time of the success report; 0 before */
	bool checked;
	unsigned serial;
};

static struct submitter submitters[SUBMITTERS];
static struct version versions[VERSIONS_MAX];
static struct sub_object stored;
static unsigned stored_serial;
static uint64_t outage_until_ns;
static unsigned responses_to_lose;
static unsigned next_serial;

void
platform_outage(uint64_t until_ns)
{
	trace_event("platform outage for %.1f s",
	    (double)(until_ns - w.now) / (double)NS_PER_S);
	outage_until_ns = until_ns;
}

void
platform_lose_answers(unsigned n)
{
	responses_to_lose = n;
}

uint64_t
platform_version(struct str *text)
{
	*text = services_config_text(stored_serial);
	return outage_until_ns > w.now ? 0 : stored.version;
}

static void
etag_of(uint64_t version, char etag[SUB_ID_MAX])
{
	etag[0] = '\0';
	if (version > 0)
		snprintf(
		    etag, SUB_ID_MAX, "\"%llu\"", (unsigned long long)version);
}

static enum sub_result
do_write(struct submitter *o)
{
	struct sub_object next;
	char etag[SUB_ID_MAX];

	etag_of(stored.version, etag);
	if (outage_until_ns > w.now)
		return SUB_NO_ANSWER;
	if (strcmp(etag, o->sub.etag) != 0 && !is_broken(INV_RACE))
		return SUB_CONFLICT;
	sub_fill_object(&o->sub, (struct str){NULL, 0}, &next);
	stored = next;
	stored_serial = o->serial;
	if (stored.version < VERSIONS_MAX) {
		struct version *v = &versions[stored.version];

		check(INV_RACE, v->writer[0] == '\0',
		    "version %llu was written twice",
		    (unsigned long long)stored.version);
		str_copy(v->writer, SUB_ID_MAX, str_of(o->sub.id));
		v->serial = o->serial;
	}
	trace_event("%s wrote version %llu", o->sub.id,
	    (unsigned long long)stored.version);
	if (responses_to_lose > 0) {
		responses_to_lose--;
		return SUB_NO_ANSWER;
	}
	return SUB_OK;
}

static enum sub_result
do_read(struct submitter *o)
{
	if (outage_until_ns > w.now || rng_chance(&w.rng, 5000))
		return SUB_NO_ANSWER;
	o->read = stored;
	return stored.version == 0 ? SUB_MISSING : SUB_OK;
}

static void
push_config(struct submitter *o, uint64_t version)
{
	struct str text = services_config_text(o->serial);

	for (unsigned i = 0; i < SEEDS && !is_broken(INV_CONFIG); i++) {
		struct proc *p = &w.procs[i];
		struct cfg c;

		if (!p->alive || p->frozen_until_ns > w.now ||
		    cfg_parse(text, "push", &c).code != STATUS_OK)
			continue;
		c.version = version;
		bal_apply_config(p->bal, &c);
	}
}

static void
finish_submission(struct submitter *o)
{
	const struct submission *s = &o->sub;
	uint64_t v = s->version;

	o->busy = false;
	trace_event("%s: %s %llu", s->id,
	    s->outcome.code == STATUS_OK ? "accepted" : s->outcome.message,
	    (unsigned long long)v);
	if (s->outcome.code == STATUS_OK) {
		check(INV_RACE,
		    v < VERSIONS_MAX && strcmp(versions[v].writer, s->id) == 0,
		    "%s received success for version %llu, which it did "
		    "not write",
		    s->id, (unsigned long long)v);
		versions[v].accepted_ns = w.now;
		push_config(o, v);
		return;
	}
	for (uint64_t i = 1; i <= stored.version && i < VERSIONS_MAX; i++) {
		bool mine = strcmp(versions[i].writer, s->id) == 0;

		check(INV_RACE, !mine || s->outcome.code == STATUS_UNKNOWN,
		    "%s wrote version %llu but received: %s", s->id,
		    (unsigned long long)i, s->outcome.message);
	}
}

static void
submission_step(unsigned who, enum sub_action next)
{
	struct submitter *o = &submitters[who];

	o->call = next;
	switch (next) {
	case SUB_READ:
		o->result = do_read(o);
		post(CALL_LATENCY_NS, EV_PLATFORM, UINT32_MAX, who, 0, NULL, 0);
		break;
	case SUB_WRITE:
		o->result = do_write(o);
		post(CALL_LATENCY_NS, EV_PLATFORM, UINT32_MAX, who, 0, NULL, 0);
		break;
	case SUB_WAIT:
		post(sub_backoff_ms(&o->sub) * NS_PER_MS, EV_PLATFORM,
		    UINT32_MAX, who, 0, NULL, 0);
		break;
	case SUB_DONE:
		finish_submission(o);
		break;
	}
}

void
platform_event(const struct event *e)
{
	struct submitter *o = &submitters[e->value];
	char etag[SUB_ID_MAX];

	etag_of(o->read.version, etag);
	if (o->call == SUB_READ)
		submission_step((unsigned)e->value,
		    sub_on_read(&o->sub, o->result, &o->read, etag));
	else if (o->call == SUB_WRITE)
		submission_step(
		    (unsigned)e->value, sub_on_write(&o->sub, o->result));
	else
		submission_step((unsigned)e->value, sub_on_wait(&o->sub));
}

void
operator_submit(void)
{
	for (unsigned i = 0; i < SUBMITTERS; i++) {
		struct submitter *o = &submitters[i];
		char id[SUB_ID_MAX];

		if (o->busy || stored.version + SUBMITTERS >= VERSIONS_MAX)
			continue;
		o->busy = true;
		o->serial = next_serial++;
		snprintf(id, sizeof(id), "operator-%u-%u", i, o->serial);
		submission_step(i, sub_start(&o->sub, id, 8));
		return;
	}
}

/*
 * Some balancers watch the platform's configuration; the others fetch it only
 * if they have none.
 */
void
platform_tick(void)
{
	for (unsigned i = 0; i < BALANCERS; i++) {
		struct proc *p = &w.procs[i];
		bool watches = i < PLATFORM_WATCHERS;

		if (!p->alive || outage_until_ns > w.now)
			continue;
		if (is_broken(INV_CONFIG) && i > 0)
			continue;
		if (watches || proc_config_version(p) == 0)
			post(CALL_LATENCY_NS, EV_FETCHED, i, UINT32_MAX, 0,
			    NULL, 0);
	}
}

/*
 * During a platform outage, and until the time to apply a version has passed
 * after it, processes can get a version only from a balancer that has it.
 */
static bool
is_obtainable(uint64_t version)
{
	if (outage_until_ns + APPLY_LIMIT_NS < w.now)
		return true;
	for (unsigned i = 0; i < BALANCERS; i++) {
		if (w.procs[i].alive &&
		    proc_config_version(&w.procs[i]) >= version)
			return true;
	}
	return false;
}

void
versions_check(void)
{
	for (uint64_t v = 1; v <= stored.version && v < VERSIONS_MAX; v++) {
		struct version *x = &versions[v];

		if (x->checked || x->accepted_ns == 0 ||
		    w.now < x->accepted_ns + APPLY_LIMIT_NS)
			continue;
		x->checked = true;
		for (unsigned i = 0; i < BALANCERS + AGENTS; i++) {
			struct proc *p = &w.procs[i];
			bool is_partitioned = false;

			for (unsigned d = 0; d < DOMAINS; d++)
				is_partitioned |=
				    w.partitioned_until_ns[p->domain][d] +
					APPLY_LIMIT_NS >
				    w.now;
			if (!p->alive || p->frozen_until_ns > w.now ||
			    is_partitioned || !is_obtainable(v) ||
			    p->disturbed_ns + 2 * APPLY_LIMIT_NS > w.now)
				continue;
			check(INV_CONFIG, proc_config_version(p) >= v,
			    "version %llu is not applied at process %u "
			    "after 8 s: it has %llu",
			    (unsigned long long)v, i,
			    (unsigned long long)proc_config_version(p));
		}
	}
}
