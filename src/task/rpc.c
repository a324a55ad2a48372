#include "task/rpc.h"

#include "task/udp.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define LENGTH_BYTES 4

struct rpc {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	const struct keyring *keys;
	uint8_t *out;
	size_t out_len;
	uint8_t *in;
	size_t in_len;
	size_t in_cap;
	unsigned closing_handles;
	struct addr to;
	rpc_done *done;
	void *ctx;
};

static void
on_closed(uv_handle_t *h)
{
	struct rpc *r = h->data;

	if (--r->closing_handles > 0)
		return;
	free(r->out);
	free(r->in);
	free(r);
}

static void
finish(struct rpc *r, const struct status *st, const struct call_reply *reply)
{
	if (r->closing_handles > 0)
		return;
	r->closing_handles = 2;
	r->done(r->ctx, st, reply);
	uv_close((uv_handle_t *)&r->tcp, on_closed);
	uv_close((uv_handle_t *)&r->timer, on_closed);
}

static void
fail(struct rpc *r, const char *what)
{
	struct status st = {0};
	char text[ADDR_TEXT_MAX];

	status_set(
	    &st, STATUS_UNAVAILABLE, "%s: %s", addr_text(r->to, text), what);
	finish(r, &st, NULL);
}

static void
on_timeout(uv_timer_t *t)
{
	fail(t->data, "no reply within the timeout");
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct rpc *r = h->data;

	(void)size;
	if (r->in_cap - r->in_len < 4096) {
		r->in_cap = r->in_cap == 0 ? 8192 : r->in_cap * 2;
		r->in = mem_grow(r->in, r->in_cap, 1);
	}
	*buf = uv_buf_init(
	    (char *)r->in + r->in_len, (unsigned)(r->in_cap - r->in_len));
}

static void
handle_reply(struct rpc *r, struct str frame)
{
	struct call_reply reply = {0};
	struct status st = {0};

	if (wire_decode_reply(r->keys, frame, &reply) != WIRE_OK) {
		fail(r, "reply failed verification");
		return;
	}
	finish(r, &st, &reply);
	free((void *)(uintptr_t)reply.text.p);
	free((void *)(uintptr_t)reply.error.p);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct rpc *r = s->data;
	uint32_t len;

	(void)buf;
	if (n < 0) {
		fail(r, "connection closed by peer (do the keys match?)");
		return;
	}
	r->in_len += (size_t)n;
	if (r->in_len < LENGTH_BYTES)
		return;
	memcpy(&len, r->in, LENGTH_BYTES);
	len = ntohl(len);
	if (len < WIRE_HEADER_LEN || len > WIRE_TCP_MAX)
		fail(r, "reply has an invalid length");
	else if (r->in_len >= LENGTH_BYTES + (size_t)len)
		handle_reply(
		    r, (struct str){(char *)r->in + LENGTH_BYTES, len});
}

static void
on_written(uv_write_t *w, int status)
{
	(void)w;
	(void)status;
}

static void
on_connect(uv_connect_t *c, int status)
{
	struct rpc *r = c->data;
	uv_buf_t buf = uv_buf_init((char *)r->out, (unsigned)r->out_len);

	if (status == UV_ECANCELED)
		return;
	if (status != 0) {
		fail(r, uv_strerror(status));
		return;
	}
	uv_write(&r->write, (uv_stream_t *)&r->tcp, &buf, 1, on_written);
	uv_read_start((uv_stream_t *)&r->tcp, on_alloc, on_read);
}

void
rpc_begin(uv_loop_t *loop, const struct keyring *keys, struct addr to,
    const struct call *call, unsigned timeout_ms, rpc_done *done, void *ctx)
{
	struct rpc *r = mem_new(sizeof(*r));
	struct sockaddr_in sin = addr_to_sys(to);

	r->keys = keys;
	r->to = to;
	r->done = done;
	r->ctx = ctx;
	r->out = wire_encode_call(keys, call, &r->out_len);
	uv_tcp_init(loop, &r->tcp);
	uv_timer_init(loop, &r->timer);
	r->tcp.data = r;
	r->timer.data = r;
	r->connect.data = r;
	uv_timer_start(&r->timer, on_timeout, timeout_ms, 0);
	if (uv_tcp_connect(
		&r->connect, &r->tcp, (struct sockaddr *)&sin, on_connect) != 0)
		uv_timer_start(&r->timer, on_timeout, 0, 0);
}

struct rpc_waiter {
	struct status st;
	struct call_reply *reply;
};

static void
keep_reply(void *ctx, const struct status *st, const struct call_reply *reply)
{
	struct rpc_waiter *w = ctx;

	w->st = *st;
	if (reply == NULL)
		return;
	*w->reply = *reply;
	w->reply->text.p = (char *)str_dup(reply->text);
	w->reply->error.p = (char *)str_dup(reply->error);
}

struct status
rpc_wait(const struct keyring *keys, struct addr to, const struct call *call,
    unsigned timeout_ms, struct call_reply *reply)
{
	struct rpc_waiter w = {.reply = reply};
	uv_loop_t loop;

	*reply = (struct call_reply){0};
	uv_loop_init(&loop);
	rpc_begin(&loop, keys, to, call, timeout_ms, keep_reply, &w);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	return w.st;
}
