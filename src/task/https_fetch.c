#include "task/https_fetch.h"

#include <curl/curl.h>
#include <dlfcn.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

/** A connection is closed when sent data stays unacknowledged for this time in
 * ms. It is below the shortest timeout of a request that matters. */
#define UNACKED_TIMEOUT_MS 2000
/** Timeout in ms of opening a connection. */
#define CONNECT_TIMEOUT_MS 1000L
#define LIBRARY_NAME "libcurl.so.4"

/** The functions of libcurl that are used; set once it is loaded. */
static struct {
	void *library;
	__typeof__(curl_easy_init) *easy_init;
	__typeof__(curl_easy_cleanup) *easy_cleanup;
	__typeof__(curl_easy_setopt) *easy_setopt;
	__typeof__(curl_easy_getinfo) *easy_getinfo;
	__typeof__(curl_slist_append) *slist_append;
	__typeof__(curl_slist_free_all) *slist_free_all;
	__typeof__(curl_multi_init) *multi_init;
	__typeof__(curl_multi_cleanup) *multi_cleanup;
	__typeof__(curl_multi_setopt) *multi_setopt;
	__typeof__(curl_multi_add_handle) *multi_add_handle;
	__typeof__(curl_multi_remove_handle) *multi_remove_handle;
	__typeof__(curl_multi_socket_action) *multi_socket_action;
	__typeof__(curl_multi_info_read) *multi_info_read;
	__typeof__(curl_multi_assign) *multi_assign;
	__typeof__(curl_global_init) *global_init;
} api;

static bool
load_libcurl(void)
{
	const struct {
		const char *name;
		void **function;
	} functions[] = {
	    {"curl_easy_init", (void **)&api.easy_init},
	    {"curl_easy_cleanup", (void **)&api.easy_cleanup},
	    {"curl_easy_setopt", (void **)&api.easy_setopt},
	    {"curl_easy_getinfo", (void **)&api.easy_getinfo},
	    {"curl_slist_append", (void **)&api.slist_append},
	    {"curl_slist_free_all", (void **)&api.slist_free_all},
	    {"curl_multi_init", (void **)&api.multi_init},
	    {"curl_multi_cleanup", (void **)&api.multi_cleanup},
	    {"curl_multi_setopt", (void **)&api.multi_setopt},
	    {"curl_multi_add_handle", (void **)&api.multi_add_handle},
	    {"curl_multi_remove_handle", (void **)&api.multi_remove_handle},
	    {"curl_multi_socket_action", (void **)&api.multi_socket_action},
	    {"curl_multi_info_read", (void **)&api.multi_info_read},
	    {"curl_multi_assign", (void **)&api.multi_assign},
	    {"curl_global_init", (void **)&api.global_init},
	};

	void *library;

	if (api.library != NULL)
		return true;
	library = dlopen(LIBRARY_NAME, RTLD_NOW | RTLD_LOCAL);
	if (library == NULL)
		return false;
	for (size_t i = 0; i < sizeof(functions) / sizeof(functions[0]); i++) {
		*functions[i].function = dlsym(library, functions[i].name);
		if (*functions[i].function == NULL)
			return false;
	}
	if (api.global_init(CURL_GLOBAL_ALL) != CURLE_OK)
		return false;
	api.library = library;
	return true;
}

struct https_fetcher {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	uint64_t timeout_ms;	 /**< loop's time of the latest timeout, or 0 */
	const char *keep_header; /**< reported of all responses, or NULL */
	struct https_fetch *fetches;
};

struct https_fetch {
	struct https_fetcher *owner;
	CURL *easy;
	struct curl_slist *headers;
	struct http_response response;
	fetch_done *done;
	void *ctx;
	struct https_fetch *prev, *next;
};

/** Polls one of libcurl's sockets on the loop. */
struct socket_watch {
	uv_poll_t poll;
	curl_socket_t fd;
	struct https_fetcher *owner;
};

/* ---- response ---- */

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct http_response *response = ctx;
	size_t n = size * count;

	if (response->len + n > HTTP_BODY_MAX_BYTES)
		return 0;
	response->body = mem_grow(response->body, response->len + n + 1, 1);
	memcpy(response->body + response->len, data, n);
	response->len += n;
	return n;
}

/* Copy the value if the header has this name. */
static void
copy_header(struct str line, const char *name, char *out, size_t cap)
{
	size_t len = strlen(name);

	if (line.len <= len || strncasecmp(line.p, name, len) != 0 ||
	    line.p[len] != ':')
		return;
	line.p += len + 1;
	line.len -= len + 1;
	while (line.len > 0 && *line.p == ' ') {
		line.p++;
		line.len--;
	}
	while (line.len > 0 &&
	       (line.p[line.len - 1] == '\r' || line.p[line.len - 1] == '\n'))
		line.len--;
	str_copy(out, cap, line);
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct https_fetch *c = ctx;
	struct str line = {data, size * count};

	copy_header(line, "etag", c->response.etag, sizeof(c->response.etag));
	if (c->owner->keep_header != NULL)
		copy_header(line, c->owner->keep_header, c->response.kept,
		    sizeof(c->response.kept));
	return size * count;
}

void
https_fetcher_keep_header(struct https_fetcher *f, const char *name)
{
	f->keep_header = name;
}

static void
free_fetch(struct https_fetch *c)
{
	api.multi_remove_handle(c->owner->multi, c->easy);
	api.easy_cleanup(c->easy);
	api.slist_free_all(c->headers);
	DL_DELETE(c->owner->fetches, c);
	free(c->response.body);
	free(c);
}

void
https_fetch_cancel(struct https_fetch *c)
{
	free_fetch(c);
}

static enum fetch_outcome
to_outcome(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return FETCH_RESPONSE;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
		return FETCH_UNREACHABLE;
	case CURLE_OPERATION_TIMEDOUT:
		return FETCH_TIMEOUT;
	case CURLE_FILESIZE_EXCEEDED: /* the stated length is over the limit */
	case CURLE_WRITE_ERROR:	      /* on_body() refused the body */
		return FETCH_TOO_LARGE;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL: /* bytes that are not HTTP/1 */
		return FETCH_MALFORMED;
	default:
		return FETCH_LOST;
	}
}

static void
finish(struct https_fetch *c, CURLcode code)
{
	struct fetch_result r = {.outcome = to_outcome(code),
	    .body = c->response.body == NULL ? "" : c->response.body,
	    .len = c->response.len,
	    .etag = c->response.etag,
	    .kept = c->response.kept};
	long status = 0;

	if (code == CURLE_OPERATION_TIMEDOUT)
		c->owner->timeout_ms = uv_now(c->owner->loop);
	if (c->response.body != NULL)
		c->response.body[c->response.len] = '\0';
	if (code == CURLE_OK)
		api.easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	r.status = (unsigned)status;
	c->done(c->ctx, &r);
	free_fetch(c);
}

static void
handle_completed(struct https_fetcher *f)
{
	CURLMsg *m;
	int queued;

	while ((m = api.multi_info_read(f->multi, &queued)) != NULL) {
		CURLcode code = m->data.result;
		struct https_fetch *c;

		if (m->msg != CURLMSG_DONE)
			continue;
		api.easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(c, code);
	}
}

/* ---- libcurl's sockets and timer on the loop ---- */

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *w = poll->data;
	struct https_fetcher *f = w->owner;
	int running;
	int flags = 0;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if ((events & UV_READABLE) != 0)
		flags |= CURL_CSELECT_IN;
	if ((events & UV_WRITABLE) != 0)
		flags |= CURL_CSELECT_OUT;
	api.multi_socket_action(f->multi, w->fd, flags, &running);
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
	struct https_fetcher *f = ctx;
	struct socket_watch *w = sockp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			uv_poll_stop(&w->poll);
			uv_close((uv_handle_t *)&w->poll, on_watch_closed);
			api.multi_assign(f->multi, fd, NULL);
		}
		return 0;
	}
	if (w == NULL) {
		w = mem_new(sizeof(*w));
		w->fd = fd;
		w->owner = f;
		uv_poll_init_socket(f->loop, &w->poll, fd);
		w->poll.data = w;
		api.multi_assign(f->multi, fd, w);
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
	struct https_fetcher *f = t->data;
	int running;

	api.multi_socket_action(f->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	handle_completed(f);
}

static int
on_set_timeout(CURLM *multi, long ms, void *ctx)
{
	struct https_fetcher *f = ctx;

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

/* Restrict which open connections a request may use: none that is idle for
 * long, and none that is older than the latest timeout, see fetch.c. libcurl
 * compares whole seconds, rounded down, so its limits are one second lower. */
static void
limit_reuse(struct https_fetcher *f, CURL *easy)
{
	uint64_t since_s;

	api.easy_setopt(
	    easy, CURLOPT_MAXAGE_CONN, FETCH_IDLE_MAX_MS / 1000L - 1);
	if (f->timeout_ms == 0)
		return;
	uv_update_time(f->loop);
	since_s = (uv_now(f->loop) - f->timeout_ms) / 1000;
	if (since_s <= 1)
		api.easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else
		api.easy_setopt(
		    easy, CURLOPT_MAXLIFETIME_CONN, (long)since_s - 1);
}

struct https_fetch *
https_fetch_start(struct https_fetcher *f, const struct fetch_request *request,
    fetch_done *done, void *ctx)
{
	struct https_fetch *c = mem_new(sizeof(*c));

	c->owner = f;
	c->done = done;
	c->ctx = ctx;
	c->easy = api.easy_init();
	if (c->easy == NULL)
		abort();
	if (request->header != NULL)
		c->headers = api.slist_append(c->headers, request->header);
	if (request->body != NULL) {
		c->headers = api.slist_append(
		    c->headers, "Content-Type: application/json");
		c->headers = api.slist_append(c->headers, "Expect:");
		api.easy_setopt(c->easy, CURLOPT_COPYPOSTFIELDS, request->body);
	}
	if (request->method != NULL)
		api.easy_setopt(
		    c->easy, CURLOPT_CUSTOMREQUEST, request->method);
	api.easy_setopt(c->easy, CURLOPT_URL, request->url);
	api.easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	api.easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	api.easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	api.easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	api.easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	api.easy_setopt(c->easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	limit_reuse(f, c->easy);
	api.easy_setopt(
	    c->easy, CURLOPT_MAXFILESIZE, (long)HTTP_BODY_MAX_BYTES);
	api.easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	api.easy_setopt(c->easy, CURLOPT_WRITEDATA, &c->response);
	api.easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	api.easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	DL_APPEND(f->fetches, c);
	api.multi_add_handle(f->multi, c->easy);
	return c;
}

/* ---- creation ---- */

struct https_fetcher *
https_fetcher_new(uv_loop_t *loop)
{
	struct https_fetcher *f;

	if (!load_libcurl())
		return NULL;
	f = mem_new(sizeof(*f));
	f->loop = loop;
	f->multi = api.multi_init();
	if (f->multi == NULL) {
		free(f);
		return NULL;
	}
	uv_timer_init(loop, &f->timer);
	f->timer.data = f;
	api.multi_setopt(f->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	api.multi_setopt(f->multi, CURLMOPT_SOCKETDATA, f);
	api.multi_setopt(f->multi, CURLMOPT_TIMERFUNCTION, on_set_timeout);
	api.multi_setopt(f->multi, CURLMOPT_TIMERDATA, f);
	return f;
}

static void
on_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

void
https_fetcher_free(struct https_fetcher *f)
{
	if (f == NULL)
		return;
	while (f->fetches != NULL)
		free_fetch(f->fetches);
	api.multi_cleanup(f->multi);
	uv_close((uv_handle_t *)&f->timer, on_timer_closed);
}
