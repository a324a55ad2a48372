#include "task/platform.h"

#include "base/log.h"
#include "codec/config_object.h"
#include "task/fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "platform"
/** Longest time that the platform holds a long poll open. */
#define WATCH_WAIT_S 25
/** Timeout of a request without a wait; added to the wait of a long poll. */
#define REQUEST_TIMEOUT_MS 3000
/** Shortest and longest backoff after a failed request. */
#define BACKOFF_MIN_MS 300
#define BACKOFF_MAX_MS 5000

struct platform {
	struct node *node;
	struct mailbox *core;
	struct mailbox mailbox;
	struct fetcher *fetcher;
	struct fetch *fetch; /**< request in progress, or NULL */
	uv_timer_t retry_timer;
	char etag[SUB_ID_MAX];
	bool watching;
	bool read_once;
	unsigned failures;
	bool started;
};

static void start_fetch(struct platform *p);

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
	return &p->mailbox;
}

static void
on_retry_timer(uv_timer_t *t)
{
	start_fetch(t->data);
}

static void
retry_later(struct platform *p)
{
	unsigned shift = p->failures < 5 ? p->failures : 5;
	uint64_t ms = BACKOFF_MIN_MS << shift;

	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	/* Jitter, so that processes do not retry all at once. */
	ms += rng_below(&p->node->rng, ms / 2 + 1);
	uv_timer_start(&p->retry_timer, on_retry_timer, ms, 0);
}

static void
mail_config(struct platform *p, const struct fetch_result *r)
{
	struct sub_object o;

	if (!config_object_decode((struct str){r->body, r->len}, &o)) {
		ctr_inc(&p->node->ctr, CTR_CONFIG_BAD);
		LOG_ERROR("The configuration object received from the platform "
			  "is malformed.");
		p->failures++;
		return;
	}
	mbox_post(p->core, &(struct mail){.kind = MAIL_CONFIG,
			       .version = o.version,
			       .text = (char *)(uintptr_t)o.text.p,
			       .text_len = o.text.len});
}

static void
on_response(void *ctx, const struct fetch_result *r)
{
	struct platform *p = ctx;

	p->fetch = NULL;
	if (r->outcome != FETCH_RESPONSE || r->status >= 500) {
		if (p->failures++ == 0)
			LOG_WARN("Request to the platform failed: %s.",
			    r->outcome != FETCH_RESPONSE
				? fetch_error(r->outcome)
				: "server error");
		ctr_inc(&p->node->ctr, CTR_PLATFORM_ERRORS);
		retry_later(p);
		return;
	}
	if (r->status == 429) {
		p->failures++;
		ctr_inc(&p->node->ctr, CTR_PLATFORM_LIMITED);
		retry_later(p);
		return;
	}
	if (p->failures > 0)
		LOG_NOTE("The platform responds again.");
	p->failures = 0;
	p->read_once = true;
	if (r->etag[0] != '\0')
		str_copy(p->etag, sizeof(p->etag), str_of(r->etag));
	if (r->status == 200)
		mail_config(p, r);
	if (r->status == 304 || r->status == 200)
		start_fetch(p);
	else
		retry_later(p);
}

static void
start_fetch(struct platform *p)
{
	char url[SETTINGS_TEXT_MAX + 96];
	char condition[SUB_ID_MAX + 32];
	bool has_etag = p->etag[0] != '\0';
	bool wait = p->watching && has_etag && p->failures == 0;
	const struct fetch_request request = {.url = url,
	    .header = has_etag ? condition : NULL,
	    .timeout_ms = wait ? WATCH_WAIT_S * 1000 + REQUEST_TIMEOUT_MS
			       : REQUEST_TIMEOUT_MS};

	if (p->fetch != NULL || !p->started || (!p->watching && p->read_once))
		return;
	snprintf(url, sizeof(url), "%s%s%s", p->node->set->platform,
	    PLAT_CONFIG_PATH, wait ? "?wait=25" : "");
	snprintf(condition, sizeof(condition), "If-None-Match: %s", p->etag);
	ctr_inc(&p->node->ctr, CTR_PLATFORM_CALLS);
	p->fetch = fetch_start(p->fetcher, &request, on_response, p);
}

/* ---- start and stop ---- */

static void
on_mail(void *ctx, struct mail *m)
{
	struct platform *p = ctx;

	if (m->kind != MAIL_WATCH || p->watching == m->flag)
		return;
	p->watching = m->flag;
	if (p->watching)
		start_fetch(p);
}

struct status
plat_start(void *self)
{
	struct platform *p = self;

	mbox_open(&p->mailbox, p->node->loop, on_mail, p);
	uv_timer_init(p->node->loop, &p->retry_timer);
	p->retry_timer.data = p;
	p->fetcher = fetcher_new(p->node->loop);
	p->started = true;
	start_fetch(p);
	return (struct status){0};
}

void
plat_stop(void *self)
{
	struct platform *p = self;

	p->started = false;
	p->fetch = NULL;
	fetcher_free(p->fetcher);
	p->fetcher = NULL;
	mbox_close(&p->mailbox);
	uv_close((uv_handle_t *)&p->retry_timer, NULL);
}
