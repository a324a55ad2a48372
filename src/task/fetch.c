#include "task/fetch.h"

#include "base/event.h"
#include "task/https_fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/** Timeout in ms of opening a connection. */
#define CONNECT_TIMEOUT_MS 1000
/** Most connections that are kept open without a request. */
#define IDLE_MAX 4
/** Size of a request's fixed parts, in bytes. */
#define HEAD_MAX 256

/** A connection that waits for the next request. */
struct idle_connection {
	uint64_t since_ms; /**< time of the loop */
	struct fetcher *owner;
	struct http_connection *connection;
	struct addr server;
	struct idle_connection *prev, *next;
};

struct fetcher {
	uv_loop_t *loop;
	struct fetch *fetches;
	struct idle_connection *idle; /**< the longest idle one comes first */
	size_t idle_count;
	struct https_fetcher *https; /**< NULL until it is needed */
	const char *keep_header;     /**< reported of all responses, or NULL */
};

struct fetch {
	struct fetcher *owner;
	uv_timer_t timer;
	uint64_t deadline_ms; /**< time of the loop */
	struct addr server;
	struct http_connection *connection; /**< NULL if the URL is invalid */
	bool reused; /**< the connection had carried a request before */
	bool sent;   /**< the connection is open, and the request on its way */
	struct str request;
	struct https_fetch *https; /**< carries a request over TLS, or NULL */
	fetch_done *done;
	void *ctx;
	struct fetch *prev, *next;
};

const char *
fetch_error(enum fetch_outcome outcome)
{
	static const char *const texts[] = {"", "cannot connect", "timed out",
	    "connection lost", "response too large", "malformed response"};

	return texts[outcome];
}

bool
fetch_is_unacceptable(enum fetch_outcome outcome)
{
	return outcome == FETCH_TOO_LARGE || outcome == FETCH_MALFORMED;
}

/* ---- idle connections ---- */

static struct http_connection *
take_idle(struct idle_connection *i)
{
	struct http_connection *connection = i->connection;

	DL_DELETE(i->owner->idle, i);
	i->owner->idle_count--;
	free(i);
	return connection;
}

/* Close the connections that are idle for FETCH_IDLE_MAX_MS. */
static void
drop_expired(struct fetcher *f)
{
	uint64_t now_ms = uv_now(f->loop);

	while (
	    f->idle != NULL && now_ms - f->idle->since_ms >= FETCH_IDLE_MAX_MS)
		http_connection_close(take_idle(f->idle));
}

/* Close all idle connections to a server. */
static void
drop_server(struct fetcher *f, struct addr server)
{
	struct idle_connection *i, *next;

	DL_FOREACH_SAFE(f->idle, i, next)
	{
		if (addr_eq(i->server, server))
			http_connection_close(take_idle(i));
	}
}

/* The connection that carried a request last is the most likely to work. */
static struct http_connection *
find_idle(struct fetcher *f, struct addr server)
{
	struct idle_connection *i, *found = NULL;

	drop_expired(f);
	DL_FOREACH(f->idle, i)
	{
		if (addr_eq(i->server, server))
			found = i;
	}
	return found != NULL ? take_idle(found) : NULL;
}

static void
on_idle_connected(void *ctx)
{
	(void)ctx;
}

static void
on_idle_failed(void *ctx, int error)
{
	(void)error;
	http_connection_close(take_idle(ctx));
}

static void
on_idle_responded(void *ctx, const struct http_response *r, bool reusable)
{
	(void)r;
	(void)reusable;
	on_idle_failed(ctx, UV_EPROTO);
}

static const struct http_connection_ops idle_ops = {
    on_idle_connected, on_idle_responded, on_idle_failed};

static void
add_idle(
    struct fetcher *f, struct http_connection *connection, struct addr server)
{
	struct idle_connection *i = mem_new(sizeof(*i));

	drop_expired(f);
	i->since_ms = uv_now(f->loop);
	i->owner = f;
	i->connection = connection;
	i->server = server;
	http_connection_set_ops(connection, &idle_ops, i);
	DL_APPEND(f->idle, i);
	if (++f->idle_count > IDLE_MAX)
		http_connection_close(take_idle(f->idle));
}

/* ---- end of a request ---- */

static void
on_timer_closed(uv_handle_t *h)
{
	struct fetch *c = h->data;

	free((char *)(uintptr_t)c->request.p);
	free(c);
}

static void
free_fetch(struct fetch *c)
{
	DL_DELETE(c->owner->fetches, c);
	if (c->connection != NULL)
		http_connection_close(c->connection);
	if (c->https != NULL)
		https_fetch_cancel(c->https);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

void
fetcher_keep_header(struct fetcher *f, const char *name)
{
	f->keep_header = name;
	if (f->https != NULL)
		https_fetcher_keep_header(f->https, name);
}

void
fetch_cancel(struct fetch *c)
{
	if (c != NULL)
		free_fetch(c);
}

/* The callback may start and cancel other requests, but not this one. */
static void
finish(struct fetch *c, enum fetch_outcome outcome,
    const struct http_response *response)
{
	struct fetch_result r = {
	    .outcome = outcome, .body = "", .etag = "", .kept = ""};

	if (response != NULL) {
		r.status = response->status;
		r.etag = response->etag;
		r.kept = response->kept;
		r.len = response->len;
		if (response->body != NULL)
			r.body = response->body;
	}
	c->done(c->ctx, &r);
	free_fetch(c);
}

/* ---- connections in use ---- */

/* A connection that does not respond may have stopped for good without a reset,
 * and mostly for a reason that concerns all connections to this server. The
 * next request therefore opens a new one. */
static void
on_timer(uv_timer_t *t)
{
	struct fetch *c = t->data;

	if (c->sent)
		drop_server(c->owner, c->server);
	finish(c, c->sent ? FETCH_TIMEOUT : FETCH_UNREACHABLE, NULL);
}

/* Wait until the deadline, or for most_ms if that is less. */
static void
start_timer(struct fetch *c, uint64_t most_ms)
{
	uint64_t now_ms = uv_now(c->owner->loop);
	uint64_t ms = c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 0;

	uv_timer_start(&c->timer, on_timer, ms < most_ms ? ms : most_ms, 0);
}

static void
on_connected(void *ctx)
{
	struct fetch *c = ctx;

	c->sent = true;
	start_timer(c, UINT64_MAX);
}

static void
on_responded(void *ctx, const struct http_response *r, bool reusable)
{
	struct fetch *c = ctx;

	if (reusable) {
		add_idle(c->owner, c->connection, c->server);
		c->connection = NULL;
	}
	finish(c, FETCH_RESPONSE, r);
}

static void on_failed(void *ctx, int error);

static const struct http_connection_ops fetch_ops = {
    on_connected, on_responded, on_failed};

static void
send_on_new_connection(struct fetch *c)
{
	c->sent = false;
	c->reused = false;
	c->connection =
	    http_connection_open(c->owner->loop, c->server, &fetch_ops, c);
	http_connection_keep_header(c->connection, c->owner->keep_header);
	http_connection_send(c->connection, c->request);
	start_timer(c, CONNECT_TIMEOUT_MS);
}

static void
send_on_idle_connection(struct fetch *c, struct http_connection *idle)
{
	c->sent = true;
	c->reused = true;
	c->connection = idle;
	http_connection_set_ops(idle, &fetch_ops, c);
	http_connection_send(idle, c->request);
	start_timer(c, UINT64_MAX);
}

/* A server closes idle connections at any time. A request that meets this is
 * sent again on a new connection. A response that cannot be accepted is an
 * answer: sending the request again would bring the same one. */
static void
on_failed(void *ctx, int error)
{
	struct fetch *c = ctx;

	if (error == UV_EMSGSIZE || error == UV_EPROTO) {
		finish(c,
		    error == UV_EMSGSIZE ? FETCH_TOO_LARGE : FETCH_MALFORMED,
		    NULL);
		return;
	}
	if (!c->reused) {
		finish(c, c->sent ? FETCH_LOST : FETCH_UNREACHABLE, NULL);
		return;
	}
	http_connection_close(c->connection);
	send_on_new_connection(c);
}

/* ---- requests over TLS ---- */

static void
on_https_done(void *ctx, const struct fetch_result *r)
{
	struct fetch *c = ctx;

	c->https = NULL;
	c->done(c->ctx, r);
	free_fetch(c);
}

/* Without libcurl the request ends as if there were no connection. */
static void
send_over_tls(struct fetch *c, const struct fetch_request *request)
{
	struct fetcher *f = c->owner;

	if (f->https == NULL) {
		f->https = https_fetcher_new(f->loop);
		if (f->https != NULL)
			https_fetcher_keep_header(f->https, f->keep_header);
	}
	if (f->https == NULL) {
		event("tls_unavailable", "s:s", "error", "cannot load libcurl");
		uv_timer_start(&c->timer, on_timer, 0, 0);
		return;
	}
	c->https = https_fetch_start(f->https, request, on_https_done, c);
}

/* ---- requests ---- */

/* Split "http://IP:PORT/PATH". */
static bool
parse_url(const char *url, struct addr *server, const char **path)
{
	static const char scheme[] = "http://";
	const char *host = url + strlen(scheme);

	if (strncmp(url, scheme, strlen(scheme)) != 0)
		return false;
	*path = host + strcspn(host, "/");
	return addr_parse((struct str){host, (size_t)(*path - host)}, server);
}

static struct str
format_request(
    const struct fetch_request *r, struct addr server, const char *path)
{
	char host[ADDR_TEXT_MAX];
	size_t body_len = r->body != NULL ? strlen(r->body) : 0;
	size_t cap = HEAD_MAX + strlen(path) + body_len +
		     (r->header != NULL ? strlen(r->header) : 0);
	char *text = mem_new(cap);
	int n = snprintf(text, cap, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s",
	    r->method != NULL ? r->method : "GET", path[0] != '\0' ? path : "/",
	    addr_text(server, host), r->header != NULL ? r->header : "",
	    r->header != NULL ? "\r\n" : "");

	if (r->body != NULL)
		n += snprintf(text + n, cap - (size_t)n,
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n",
		    body_len);
	n += snprintf(text + n, cap - (size_t)n, "\r\n%s",
	    r->body != NULL ? r->body : "");
	return (struct str){text, (size_t)n};
}

struct fetch *
fetch_start(struct fetcher *f, const struct fetch_request *request,
    fetch_done *done, void *ctx)
{
	struct fetch *c = mem_new(sizeof(*c));
	struct http_connection *idle;
	const char *path;

	c->owner = f;
	c->done = done;
	c->ctx = ctx;
	uv_timer_init(f->loop, &c->timer);
	c->timer.data = c;
	DL_APPEND(f->fetches, c);
	if (strncmp(request->url, "https://", strlen("https://")) == 0) {
		send_over_tls(c, request);
		return c;
	}
	if (!parse_url(request->url, &c->server, &path)) {
		uv_timer_start(&c->timer, on_timer, 0, 0);
		return c;
	}
	c->request = format_request(request, c->server, path);
	uv_update_time(f->loop);
	c->deadline_ms = uv_now(f->loop) + (uint64_t)request->timeout_ms;
	idle = find_idle(f, c->server);
	if (idle != NULL)
		send_on_idle_connection(c, idle);
	else
		send_on_new_connection(c);
	return c;
}

/* ---- creation ---- */

struct fetcher *
fetcher_new(uv_loop_t *loop)
{
	struct fetcher *f = mem_new(sizeof(*f));

	f->loop = loop;
	return f;
}

void
fetcher_free(struct fetcher *f)
{
	if (f == NULL)
		return;
	while (f->fetches != NULL)
		free_fetch(f->fetches);
	while (f->idle != NULL)
		http_connection_close(take_idle(f->idle));
	https_fetcher_free(f->https);
	free(f);
}
