#include "task/fetch.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

/** A connection is closed when sent data stays unacknowledged for this time in
 * ms. It is below the shortest timeout of a request that matters. */
#define UNACKED_TIMEOUT_MS 2000
/** Timeout in ms of opening a connection. */
#define CONNECT_TIMEOUT_MS 1000L

struct fetcher {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	struct fetch *fetches;
};

struct fetch {
	struct fetcher *owner;
	CURL *easy;
	struct curl_slist *headers;
	struct http_response response;
	fetch_done *done;
	void *ctx;
	struct fetch *prev, *next;
};

/** Polls one of libcurl's sockets on the loop. */
struct socket_watch {
	uv_poll_t poll;
	curl_socket_t fd;
	struct fetcher *owner;
};

static void
free_fetch(struct fetch *c)
{
	curl_multi_remove_handle(c->owner->multi, c->easy);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	DL_DELETE(c->owner->fetches, c);
	free(c->response.body);
	free(c);
}

void
fetch_cancel(struct fetch *c)
{
	if (c != NULL)
		free_fetch(c);
}

static void
finish(struct fetch *c, CURLcode code)
{
	struct fetch_result r = {.curl = code,
	    .body = c->response.body == NULL ? "" : c->response.body,
	    .len = c->response.len,
	    .etag = c->response.etag};

	if (c->response.body != NULL)
		c->response.body[c->response.len] = '\0';
	if (code == CURLE_OK)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &r.status);
	c->done(c->ctx, &r);
	free_fetch(c);
}

static void
handle_completed(struct fetcher *f)
{
	CURLMsg *m;
	int queued;

	while ((m = curl_multi_info_read(f->multi, &queued)) != NULL) {
		CURLcode code = m->data.result;
		struct fetch *c;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(c, code);
	}
}

/* ---- libcurl's sockets and timer on the loop ---- */

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *w = poll->data;
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
	handle_completed(f);
}

static void
on_watch_closed(uv_handle_t *h)
{
	free(h->data);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sockp)
{
	struct fetcher *f = ctx;
	struct socket_watch *w = sockp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			uv_poll_stop(&w->poll);
			uv_close((uv_handle_t *)&w->poll, on_watch_closed);
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
	handle_completed(f);
}

static int
on_set_timeout(CURLM *multi, long ms, void *ctx)
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
	unsigned ms = UNACKED_TIMEOUT_MS;

	(void)ctx;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* ---- requests ---- */

struct fetch *
fetch_start(struct fetcher *f, const struct fetch_request *request,
    fetch_done *done, void *ctx)
{
	struct fetch *c = mem_new(sizeof(*c));

	c->owner = f;
	c->done = done;
	c->ctx = ctx;
	c->easy = curl_easy_init();
	if (c->easy == NULL)
		abort();
	if (request->header != NULL)
		c->headers = curl_slist_append(c->headers, request->header);
	if (request->body != NULL) {
		c->headers = curl_slist_append(
		    c->headers, "Content-Type: application/json");
		c->headers = curl_slist_append(c->headers, "Expect:");
		curl_easy_setopt(
		    c->easy, CURLOPT_COPYPOSTFIELDS, request->body);
	}
	if (request->method != NULL)
		curl_easy_setopt(
		    c->easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(c->easy, CURLOPT_URL, request->url);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	curl_easy_setopt(
	    c->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c->easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	http_collect(c->easy, &c->response);
	DL_APPEND(f->fetches, c);
	curl_multi_add_handle(f->multi, c->easy);
	return c;
}

/* ---- creation ---- */

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
	curl_multi_setopt(f->multi, CURLMOPT_TIMERFUNCTION, on_set_timeout);
	curl_multi_setopt(f->multi, CURLMOPT_TIMERDATA, f);
	return f;
}

static void
on_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

void
fetcher_free(struct fetcher *f)
{
	if (f == NULL)
		return;
	while (f->fetches != NULL)
		free_fetch(f->fetches);
	curl_multi_cleanup(f->multi);
	uv_close((uv_handle_t *)&f->timer, on_timer_closed);
}
