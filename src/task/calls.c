#include "task/calls.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/** Maximum number of connections; any further one is closed at once. */
#define CONNS_MAX 64
/** A connection is closed this long after it was accepted. */
#define CONN_TIMEOUT_MS 10000
#define LENGTH_BYTES 4

struct conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned closing; /**< handles still to close */
	struct calls *owner;
	uint64_t id;
	uint8_t *buf;
	size_t used;
	size_t cap;
	struct conn *prev;
	struct conn *next;
};

struct calls {
	struct node *node;
	struct mailbox *core;
	struct mailbox mailbox;
	uv_tcp_t listener;
	struct conn *conns;
	size_t count;
	uint64_t next_id;
};

struct calls *
calls_new(struct node *node, struct mailbox *core)
{
	struct calls *c = mem_new(sizeof(*c));

	c->node = node;
	c->core = core;
	c->next_id = 1;
	return c;
}

void
calls_free(struct calls *c)
{
	free(c);
}

struct mailbox *
calls_mailbox(struct calls *c)
{
	return &c->mailbox;
}

static void
on_closed(uv_handle_t *h)
{
	struct conn *c = h->data;

	if (--c->closing > 0)
		return;
	free(c->buf);
	free(c);
}

static void
conn_close(struct conn *c)
{
	if (c->closing > 0)
		return;
	c->closing = 2;
	DL_DELETE(c->owner->conns, c);
	c->owner->count--;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->timer, on_closed);
}

static void
on_conn_timeout(uv_timer_t *t)
{
	conn_close(t->data);
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct conn *c = h->data;

	(void)size;
	if (c->cap - c->used < 4096) {
		c->cap = c->cap == 0 ? 8192 : c->cap * 2;
		c->buf = mem_grow(c->buf, c->cap, 1);
	}
	*buf =
	    uv_buf_init((char *)c->buf + c->used, (unsigned)(c->cap - c->used));
}

static bool
handle_frame(struct conn *c, struct str frame)
{
	struct node *n = c->owner->node;
	struct call call = {0};
	enum wire_result r = wire_decode_call(&n->keys, frame, &call);

	if (r != WIRE_OK) {
		ctr_inc(&n->ctr, wire_drop_counter(r));
		return false;
	}
	ctr_add(&n->ctr, CTR_CONTROL_IN, frame.len);
	mbox_post(c->owner->core, &(struct mail){.kind = MAIL_CALL,
				      .call = call.kind,
				      .version = call.version,
				      .text = (char *)(uintptr_t)call.text.p,
				      .text_len = call.text.len,
				      .conn = c->id});
	return true;
}

/* Returns false at the first frame that does not verify, so that the
 * connection of a peer without the key is closed. */
static bool
handle_frames(struct conn *c)
{
	while (c->used >= LENGTH_BYTES) {
		uint32_t len;
		size_t frame_len;

		memcpy(&len, c->buf, LENGTH_BYTES);
		len = ntohl(len);
		if (len < WIRE_HEADER_LEN || len > WIRE_TCP_MAX) {
			ctr_inc(&c->owner->node->ctr, CTR_DROP_MALFORMED);
			return false;
		}
		frame_len = LENGTH_BYTES + (size_t)len;
		if (c->used < frame_len)
			return true;
		if (!handle_frame(
			c, (struct str){(char *)c->buf + LENGTH_BYTES, len}))
			return false;
		memmove(c->buf, c->buf + frame_len, c->used - frame_len);
		c->used -= frame_len;
	}
	return true;
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = s->data;

	(void)buf;
	if (n < 0) {
		conn_close(c);
		return;
	}
	c->used += (size_t)n;
	if (!handle_frames(c))
		conn_close(c);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct calls *owner = listener->data;
	struct conn *c;

	if (status != 0)
		return;
	c = mem_new(sizeof(*c));
	c->owner = owner;
	c->id = owner->next_id++;
	uv_tcp_init(owner->node->loop, &c->tcp);
	uv_timer_init(owner->node->loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	DL_APPEND(owner->conns, c);
	owner->count++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    owner->count > CONNS_MAX) {
		conn_close(c);
		return;
	}
	uv_timer_start(&c->timer, on_conn_timeout, CONN_TIMEOUT_MS, 0);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

struct write_req {
	uv_write_t req;
	uint8_t *bytes;
};

static void
on_written(uv_write_t *req, int status)
{
	struct write_req *w = req->data;

	(void)status;
	free(w->bytes);
	free(w);
}

static void
send_reply(struct calls *server, struct conn *c, const struct mail *m)
{
	struct write_req *w = mem_new(sizeof(*w));
	struct str text = {m->text, m->text_len};
	struct call_reply r = {.ok = m->flag,
	    .version = m->version,
	    .base = m->base,
	    .prefix = m->prefix,
	    .suffix = m->suffix,
	    .hash = m->hash};
	uv_buf_t buf;
	size_t len;

	if (m->flag)
		r.text = text;
	else
		r.error = text;
	w->bytes = wire_encode_reply(&server->node->keys, &r, &len);
	w->req.data = w;
	ctr_add(&server->node->ctr, CTR_CONTROL_OUT, len);
	buf = uv_buf_init((char *)w->bytes, (unsigned)len);
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) != 0)
		on_written(&w->req, -1);
}

static void
on_mail(void *ctx, struct mail *m)
{
	struct calls *server = ctx;
	struct conn *c;

	if (m->kind != MAIL_REPLY)
		return;
	DL_FOREACH(server->conns, c)
	{
		if (c->id == m->conn) {
			send_reply(server, c, m);
			return;
		}
	}
}

struct status
calls_start(void *self)
{
	struct calls *server = self;
	struct sockaddr_in sin = addr_to_sys(server->node->set->address);
	struct status st = {0};
	int rc;

	mbox_open(&server->mailbox, server->node->loop, on_mail, server);
	uv_tcp_init(server->node->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&server->listener, CONNS_MAX, on_connection);
	if (rc != 0)
		status_set(&st, STATUS_INVALID, "TCP control port: %s",
		    uv_strerror(rc));
	return st;
}

void
calls_stop(void *self)
{
	struct calls *server = self;
	struct conn *c;
	struct conn *tmp;

	DL_FOREACH_SAFE(server->conns, c, tmp)
	{
		conn_close(c);
	}
	mbox_close(&server->mailbox);
	uv_close((uv_handle_t *)&server->listener, NULL);
}
