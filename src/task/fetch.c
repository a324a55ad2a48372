#include "task/fetch.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

/** A connection whose bytes are not acknowledged for this long is dropped,
 * ms: below the shortest time-out of a call that matters. */
#define UNACKED_MS 2000
/** A connection is opened within this or not at all, ms. */
#define CONNECT_MS 1000L

struct fetcher {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	struct fetch *calls;
};

struct fetch {
	struct fetcher *owner;
	CURL *easy;
	struct curl_slist *headers;
	struct http_response answer;
	fetch_done *done;
	void *ctx;
	struct fetch *prev, *next;
};

/** libcurl's socket on the loop. */
struct watcher {
	uv_poll_t poll;
	curl_socket_t fd;
	struct fetcher *owner;
};

static void
release(struct fetch *c)
{
	curl_multi_remove_handle(c->owner->multi, c->easy);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	DL_DELETE(c->owner->calls, c);
	free(c->answer.body);
	free(c);
}

void
fetch_cancel(struct fetch *c)
{
	if (c != NULL)
		release(c);
}

static void
finish(struct fetch *c, CURLcode code)
{
	struct fetch_result r = {.curl = code,
	    .body = c->answer.body == NULL ? "" : c->answer.body,
	    .len = c->answer.len,
	    .etag = c->answer.etag};

	if (c->answer.body != NULL)
		c->answer.body[c->answer.len] = '\0';
	if (code == CURLE_OK)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &r.status);
	c->done(c->ctx, &r);
	release(c);
}

static void
check_done(struct fetcher *f)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(f->multi, &left)) != NULL) {
		CURLcode code = m->data.result;
		struct fetch *c;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(c, code);
	}
}

/* ---- libcurl on the loop ---- */

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct watcher *w = poll->data;
	struct fetcher *f = w->owner;
	int running;
	int flags = 0;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if ((events & UV_READABLE) != 0)
		flags |= CURL_CSELECT_IN;
	if ((events & UV_WRITABLE) != 0)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(f->multi, w->fd, flags, &running);
	check_done(f);
}

static void
watcher_closed(uv_handle_t *h)
{
	free(h->data);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sockp)
{
	struct fetcher *f = ctx;
	struct watcher *w = sockp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			uv_poll_stop(&w->poll);
			uv_close((uv_handle_t *)&w->poll, watcher_closed);
			curl_multi_assign(f->multi, fd, NULL);
		}
		return 0;
	}
	if (w == NULL) {
		w = mem_new(sizeof(*w));
		w->fd = fd;
		w->owner = f;
		uv_poll_init_socket(f->loop, &w->poll, fd);
		w->poll.data = w;
		curl_multi_assign(f->multi, fd, w);
	}
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	uv_poll_start(&w->poll, events, on_poll);
	return 0;
}

static void
on_timer(uv_timer_t *t)
{
	struct fetcher *f = t->data;
	int running;

	curl_multi_socket_action(f->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_done(f);
}

static int
on_timeout_wanted(CURLM *multi, long ms, void *ctx)
{
	struct fetcher *f = ctx;

	(void)multi;
	if (ms < 0)
		uv_timer_stop(&f->timer);
	else
		uv_timer_start(&f->timer, on_timer, (uint64_t)ms, 0);
	return 0;
}

static int
on_new_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	unsigned ms = UNACKED_MS;

	(void)ctx;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* ---- calls ---- */

struct fetch *
fetch_start(struct fetcher *f, const struct fetch_request *ask,
    fetch_done *done, void *ctx)
{
	struct fetch *c = mem_new(sizeof(*c));

	c->owner = f;
	c->done = done;
	c->ctx = ctx;
	c->easy = curl_easy_init();
	if (c->easy == NULL)
		abort();
	if (ask->header != NULL)
		c->headers = curl_slist_append(c->headers, ask->header);
	if (ask->body != NULL) {
		c->headers = curl_slist_append(
		    c->headers, "Content-Type: application/json");
		c->headers = curl_slist_append(c->headers, "Expect:");
		curl_easy_setopt(c->easy, CURLOPT_COPYPOSTFIELDS, ask->body);
	}
	if (ask->method != NULL)
		curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, ask->method);
	curl_easy_setopt(c->easy, CURLOPT_URL, ask->url);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, ask->timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	curl_easy_setopt(c->easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	http_collect(c->easy, &c->answer);
	DL_APPEND(f->calls, c);
	curl_multi_add_handle(f->multi, c->easy);
	return c;
}

/* ---- life ---- */

struct fetcher *
fetcher_new(uv_loop_t *loop)
{
	struct fetcher *f = mem_new(sizeof(*f));

	f->loop = loop;
	f->multi = curl_multi_init();
	if (f->multi == NULL) {
		free(f);
		return NULL;
	}
	uv_timer_init(loop, &f->timer);
	f->timer.data = f;
	curl_multi_setopt(f->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(f->multi, CURLMOPT_SOCKETDATA, f);
	curl_multi_setopt(f->multi, CURLMOPT_TIMERFUNCTION, on_timeout_wanted);
	curl_multi_setopt(f->multi, CURLMOPT_TIMERDATA, f);
	return f;
}

static void
timer_closed(uv_handle_t *h)
{
	free(h->data);
}

void
fetcher_free(struct fetcher *f)
{
	if (f == NULL)
		return;
	while (f->calls != NULL)
		release(f->calls);
	curl_multi_cleanup(f->multi);
	uv_close((uv_handle_t *)&f->timer, timer_closed);
}
