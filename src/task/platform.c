#include "task/platform.h"

#include "base/log.h"
#include "codec/object.h"
#include "task/fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PART "platform"
/** Longest wait that a watch asks the platform for. */
#define WATCH_S 25
/** A call without a wait is given up after this. */
#define CALL_TIMEOUT_MS 3000
/** First and longest pause after a call that failed. */
#define PAUSE_FIRST_MS 300
#define PAUSE_MAX_MS 5000

struct platform {
	struct node *node;
	struct mailbox *core;
	struct mailbox box;
	struct fetcher *fetcher;
	struct fetch *call; /**< NULL for none */
	uv_timer_t pause_timer;
	char etag[SUB_ID_MAX];
	bool watching;
	bool read_once;
	unsigned failures;
	bool started;
};

static void begin(struct platform *p);

struct platform *
plat_new(struct node *node, struct mailbox *core)
{
	struct platform *p = mem_new(sizeof(*p));

	p->node = node;
	p->core = core;
	return p;
}

void
plat_free(struct platform *p)
{
	free(p);
}

struct mailbox *
plat_mailbox(struct platform *p)
{
	return &p->box;
}

static void
on_pause_end(uv_timer_t *t)
{
	begin(t->data);
}

static void
pause_then_begin(struct platform *p)
{
	unsigned shift = p->failures < 5 ? p->failures : 5;
	uint64_t ms = PAUSE_FIRST_MS << shift;

	if (ms > PAUSE_MAX_MS)
		ms = PAUSE_MAX_MS;
	/* Spread, so that nodes do not come back all at once. */
	ms += rng_below(&p->node->rng, ms / 2 + 1);
	uv_timer_start(&p->pause_timer, on_pause_end, ms, 0);
}

static void
mail_config(struct platform *p, const struct fetch_result *r)
{
	struct sub_object o;

	if (!obj_decode((struct str){r->body, r->len}, &o)) {
		ctr_inc(&p->node->ctr, CTR_CONFIG_BAD);
		LOG_ERROR("The configuration object is malformed.");
		p->failures++;
		return;
	}
	mbox_post(p->core, &(struct mail){.kind = MAIL_CONFIG,
			       .version = o.version,
			       .text = (char *)(uintptr_t)o.text.p,
			       .text_len = o.text.len});
}

static void
on_answer(void *ctx, const struct fetch_result *r)
{
	struct platform *p = ctx;

	p->call = NULL;
	if (r->curl != CURLE_OK || r->status >= 500) {
		if (p->failures++ == 0)
			LOG_WARN("The platform does not answer: %s.",
			    r->curl != CURLE_OK ? curl_easy_strerror(r->curl)
						: "server error");
		ctr_inc(&p->node->ctr, CTR_PLATFORM_ERRORS);
		pause_then_begin(p);
		return;
	}
	if (r->status == 429) {
		p->failures++;
		ctr_inc(&p->node->ctr, CTR_PLATFORM_LIMITED);
		pause_then_begin(p);
		return;
	}
	if (p->failures > 0)
		LOG_NOTE("The platform answers again.");
	p->failures = 0;
	p->read_once = true;
	if (r->etag[0] != '\0')
		str_copy(p->etag, sizeof(p->etag), str_of(r->etag));
	if (r->status == 200)
		mail_config(p, r);
	if (r->status == 304 || r->status == 200)
		begin(p);
	else
		pause_then_begin(p);
}

static void
begin(struct platform *p)
{
	char url[SET_TEXT_MAX + 96];
	char condition[SUB_ID_MAX + 32];
	bool known = p->etag[0] != '\0';
	bool wait = p->watching && known && p->failures == 0;
	const struct fetch_request ask = {.url = url,
	    .header = known ? condition : NULL,
	    .timeout_ms =
		wait ? WATCH_S * 1000 + CALL_TIMEOUT_MS : CALL_TIMEOUT_MS};

	if (p->call != NULL || !p->started || (!p->watching && p->read_once))
		return;
	snprintf(url, sizeof(url), "%s%s%s", p->node->set->platform,
	    PLAT_CONFIG_PATH, wait ? "?wait=25" : "");
	snprintf(condition, sizeof(condition), "If-None-Match: %s", p->etag);
	ctr_inc(&p->node->ctr, CTR_PLATFORM_CALLS);
	p->call = fetch_start(p->fetcher, &ask, on_answer, p);
}

/* ---- life ---- */

static void
on_mail(void *ctx, struct mail *m)
{
	struct platform *p = ctx;

	if (m->kind != MAIL_WATCH || p->watching == m->flag)
		return;
	p->watching = m->flag;
	if (p->watching)
		begin(p);
}

struct status
plat_start(void *self)
{
	struct platform *p = self;
	struct status st = {0};

	mbox_open(&p->box, p->node->loop, on_mail, p);
	uv_timer_init(p->node->loop, &p->pause_timer);
	p->pause_timer.data = p;
	p->fetcher = fetcher_new(p->node->loop);
	if (p->fetcher == NULL) {
		status_set(&st, STATUS_UNAVAILABLE, "libcurl cannot start");
		return st;
	}
	p->started = true;
	begin(p);
	return st;
}

void
plat_stop(void *self)
{
	struct platform *p = self;

	p->started = false;
	p->call = NULL;
	fetcher_free(p->fetcher);
	p->fetcher = NULL;
	mbox_close(&p->box);
	uv_close((uv_handle_t *)&p->pause_timer, NULL);
}
