#include "task/http_connection.h"

#include "task/udp.h"

#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/** A connection fails when sent data stays unacknowledged for this time in ms.
 * It is below the shortest timeout of a request that matters. */
#define UNACKED_TIMEOUT_MS 2000

struct http_connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	http_parser parser;
	const struct http_connection_ops *ops;
	void *ctx;
	struct http_response response;
	const char *keep; /**< name of the header to be kept, or NULL */
	bool in_etag;	  /**< the header field being parsed is the ETag */
	bool in_kept;	  /**< it is the one to be kept */
	bool complete;	  /**< a response was parsed completely */
	bool too_large;	  /**< its body is over HTTP_BODY_MAX_BYTES */
	bool closing;
};

/** A request that is being written. */
struct pending_request {
	uv_write_t write;
	char bytes[];
};

static char read_buffer[16384];

static void
fail(struct http_connection *c, int error)
{
	if (!c->closing)
		c->ops->failed(c->ctx, error);
}

/* ---- parsing ---- */

static int
on_message_begin(http_parser *p)
{
	struct http_connection *c = p->data;

	free(c->response.body);
	c->response = (struct http_response){0};
	return 0;
}

static int
on_header_field(http_parser *p, const char *at, size_t len)
{
	static const char name[] = "etag";
	struct http_connection *c = p->data;

	c->in_etag = len == strlen(name) && strncasecmp(at, name, len) == 0;
	c->in_kept = c->keep != NULL && len == strlen(c->keep) &&
		     strncasecmp(at, c->keep, len) == 0;
	return 0;
}

static int
on_header_value(http_parser *p, const char *at, size_t len)
{
	struct http_connection *c = p->data;

	if (c->in_etag)
		str_copy(c->response.etag, sizeof(c->response.etag),
		    (struct str){at, len});
	if (c->in_kept)
		str_copy(c->response.kept, sizeof(c->response.kept),
		    (struct str){at, len});
	return 0;
}

/* A body that states its length is refused before it is received. */
static int
on_headers_complete(http_parser *p)
{
	struct http_connection *c = p->data;

	c->too_large = (p->flags & F_CONTENTLENGTH) != 0 &&
		       p->content_length > HTTP_BODY_MAX_BYTES;
	return c->too_large ? -1 : 0;
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct http_connection *c = p->data;
	struct http_response *r = &c->response;

	if (r->len + len > HTTP_BODY_MAX_BYTES) {
		c->too_large = true;
		return 1;
	}
	r->body = mem_grow(r->body, r->len + len + 1, 1);
	memcpy(r->body + r->len, at, len);
	r->len += len;
	r->body[r->len] = '\0';
	return 0;
}

/* The parser is paused, because the response is delivered after it returns. */
static int
on_message_complete(http_parser *p)
{
	struct http_connection *c = p->data;

	c->response.status = p->status_code;
	c->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete};

/* len 0 is the end of the stream, which ends a body without a length. */
static void
parse(struct http_connection *c, const char *bytes, size_t len)
{
	http_parser_execute(&c->parser, &parser_settings, bytes, len);
	if (c->complete) {
		bool reusable =
		    len > 0 && http_should_keep_alive(&c->parser) != 0;

		c->complete = false;
		http_parser_init(&c->parser, HTTP_RESPONSE);
		c->ops->responded(c->ctx, &c->response, reusable);
		return;
	}
	if (c->too_large)
		fail(c, UV_EMSGSIZE);
	else if (len == 0)
		fail(c, UV_EOF);
	else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		fail(c, UV_EPROTO);
}

/* ---- the socket ---- */

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
	struct http_connection *c = s->data;

	if (n > 0)
		parse(c, buf->base, (size_t)n);
	else if (n == UV_EOF)
		parse(c, NULL, 0);
	else if (n < 0)
		fail(c, (int)n);
}

static void
set_socket_options(uv_tcp_t *tcp)
{
	unsigned ms = UNACKED_TIMEOUT_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct http_connection *c = connect->data;

	if (c->closing)
		return;
	if (status == 0)
		status =
		    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (status != 0) {
		fail(c, status);
		return;
	}
	c->ops->connected(c->ctx);
}

struct http_connection *
http_connection_open(uv_loop_t *loop, struct addr to,
    const struct http_connection_ops *ops, void *ctx)
{
	struct http_connection *c = mem_new(sizeof(*c));
	struct sockaddr_in sin = addr_to_sys(to);

	c->ops = ops;
	c->ctx = ctx;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	uv_tcp_init_ex(loop, &c->tcp, AF_INET);
	c->tcp.data = c;
	c->connect.data = c;
	set_socket_options(&c->tcp);
	/* An error that is not left to the callback ends in the owner's timeout
	 * for opening a connection. */
	uv_tcp_connect(
	    &c->connect, &c->tcp, (struct sockaddr *)&sin, on_connected);
	return c;
}

void
http_connection_set_ops(
    struct http_connection *c, const struct http_connection_ops *ops, void *ctx)
{
	c->ops = ops;
	c->ctx = ctx;
}

static void
on_written(uv_write_t *w, int status)
{
	struct http_connection *c = w->handle->data;

	free(w->data);
	if (status != 0)
		fail(c, status);
}

void
http_connection_keep_header(struct http_connection *c, const char *name)
{
	c->keep = name;
}

void
http_connection_send(struct http_connection *c, struct str request)
{
	struct pending_request *r = mem_new(sizeof(*r) + request.len);
	uv_buf_t buf = uv_buf_init(r->bytes, (unsigned)request.len);

	memcpy(r->bytes, request.p, request.len);
	r->write.data = r;
	if (uv_write(&r->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) !=
	    0)
		free(r); /* the connection is broken: reading fails, too */
}

static void
on_closed(uv_handle_t *h)
{
	struct http_connection *c = h->data;

	free(c->response.body);
	free(c);
}

void
http_connection_close(struct http_connection *c)
{
	if (c->closing)
		return;
	c->closing = true;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}
