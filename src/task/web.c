#include "task/web.h"

#include "task/udp.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/** Maximum number of connections that wait to be accepted. */
#define BACKLOG 64
/** A connection is closed when no data is received for this time in ms. */
#define IDLE_TIMEOUT_MS 30000

struct web_connection {
	struct web *owner;
	uv_tcp_t tcp;
	uv_timer_t idle;
	unsigned open_handles;
	http_parser parser;
	char path[WEB_PATH_MAX];
	size_t path_len;
	char *body;
	size_t body_len;
	bool closing;
	struct web_connection *prev, *next;
};

/** A response that is being written. */
struct pending_write {
	uv_write_t write;
	char bytes[];
};

static char read_buffer[16384];

/* ---- closing ---- */

static void
on_handle_closed(uv_handle_t *h)
{
	struct web_connection *c = h->data;

	if (--c->open_handles > 0)
		return;
	free(c->body);
	free(c);
}

static void
close_connection(struct web_connection *c)
{
	if (c->closing)
		return;
	c->closing = true;
	DL_DELETE(c->owner->connections, c);
	c->owner->count--;
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&c->idle, on_handle_closed);
}

static void
on_idle(uv_timer_t *t)
{
	close_connection(t->data);
}

/* ---- requests ---- */

static int
on_url(http_parser *p, const char *at, size_t len)
{
	struct web_connection *c = p->data;

	if (c->path_len + len > WEB_PATH_MAX)
		return 1;
	memcpy(c->path + c->path_len, at, len);
	c->path_len += len;
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct web_connection *c = p->data;

	if (c->body_len + len > WEB_BODY_MAX)
		return 1;
	c->body = mem_grow(c->body, c->body_len + len, 1);
	memcpy(c->body + c->body_len, at, len);
	c->body_len += len;
	return 0;
}

static int
on_message_begin(http_parser *p)
{
	struct web_connection *c = p->data;

	c->path_len = 0;
	c->body_len = 0;
	return 0;
}

static void
on_written(uv_write_t *w, int status)
{
	struct web_connection *c = w->handle->data;

	free(w->data);
	if (status != 0)
		close_connection(c);
}

static void
send_response(struct web_connection *c, const struct web_response *response)
{
	struct pending_write *r =
	    mem_new(sizeof(*r) + 256 + response->body.len);
	int head = snprintf(r->bytes, 256,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s%sContent-Length: "
	    "%zu\r\n\r\n",
	    response->status,
	    http_status_str((enum http_status)response->status), response->type,
	    response->header == NULL ? "" : response->header,
	    response->header == NULL ? "" : "\r\n", response->body.len);
	uv_buf_t buf;

	memcpy(r->bytes + head, response->body.p, response->body.len);
	buf = uv_buf_init(
	    r->bytes, (unsigned)((size_t)head + response->body.len));
	r->write.data = r;
	if (uv_write(&r->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) !=
	    0) {
		free(r);
		close_connection(c);
	}
}

static int
on_message_complete(http_parser *p)
{
	struct web_connection *c = p->data;
	const struct web_request request = {
	    str_of(http_method_str((enum http_method)p->method)),
	    {c->path, c->path_len}, {c->body, c->body_len}};
	struct web_response response = {
	    .status = 404, .type = "text/plain", .body = str_of("")};

	c->owner->handle(c->owner->ctx, &request, &response);
	send_response(c, &response);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- connections ---- */

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct web_connection *c = s->data;

	if (n == 0 || c->closing)
		return;
	if (n < 0) {
		close_connection(c);
		return;
	}
	uv_timer_again(&c->idle);
	if (http_parser_execute(&c->parser, &parser_settings, buf->base,
		(size_t)n) != (size_t)n)
		close_connection(c);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct web *w = listener->data;
	struct web_connection *c;

	if (status != 0)
		return;
	c = mem_new(sizeof(*c));
	c->owner = w;
	uv_tcp_init(listener->loop, &c->tcp);
	uv_timer_init(listener->loop, &c->idle);
	c->open_handles = 2;
	c->tcp.data = c;
	c->idle.data = c;
	DL_APPEND(w->connections, c);
	w->count++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    w->count > WEB_CONNECTIONS_MAX) {
		close_connection(c);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	uv_timer_start(&c->idle, on_idle, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

struct status
web_open(struct web *w, uv_loop_t *loop, struct addr at, web_handler *handle,
    void *ctx)
{
	struct sockaddr_in sin = addr_to_sys(at);
	struct status st = {0};
	char text[ADDR_TEXT_MAX];
	int rc;

	w->handle = handle;
	w->ctx = ctx;
	uv_tcp_init(loop, &w->listener);
	w->listener.data = w;
	w->open = true;
	rc = uv_tcp_bind(&w->listener, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&w->listener, BACKLOG, on_connection);
	if (rc != 0)
		status_set(&st, STATUS_INVALID, "TCP %s: %s",
		    addr_text(at, text), uv_strerror(rc));
	return st;
}

void
web_close(struct web *w)
{
	if (!w->open)
		return;
	w->open = false;
	while (w->connections != NULL)
		close_connection(w->connections);
	uv_close((uv_handle_t *)&w->listener, NULL);
}
