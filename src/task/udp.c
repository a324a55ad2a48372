#include "task/udp.h"

#include <arpa/inet.h>
#include <string.h>

/** Size in bytes of the buffer for recvmmsg(2). libuv divides it into 64 KiB
 * for each datagram. */
#define BATCH_SIZE (16 * 65536)
/** Requested size in bytes of a socket's receive buffer. */
#define RECV_BUFFER_SIZE (1024 * 1024)

static char recv_batch[BATCH_SIZE];

struct sockaddr_in
addr_to_sys(struct addr a)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};

	sin.sin_addr.s_addr = htonl(a.ip);
	sin.sin_port = htons(a.port);
	return sin;
}

struct addr
addr_from_sys(const struct sockaddr *sa)
{
	struct sockaddr_in sin;

	memcpy(&sin, sa, sizeof(sin));
	return (struct addr){ntohl(sin.sin_addr.s_addr), ntohs(sin.sin_port)};
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	/* A single buffer is enough: a process has one loop, and each
	 * datagram is handled before the next read. */
	*buf = uv_buf_init(recv_batch, sizeof(recv_batch));
}

static void
on_receive(uv_udp_t *h, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *src, unsigned flags)
{
	struct udp *u = h->data;

	if (n <= 0 || src == NULL || (flags & UV_UDP_PARTIAL) != 0)
		return;
	u->receive(
	    u->ctx, (struct str){buf->base, (size_t)n}, addr_from_sys(src));
}

struct status
udp_open(struct udp *u, uv_loop_t *loop, struct addr local,
    void (*receive)(void *ctx, struct str dgram, struct addr src), void *ctx)
{
	struct sockaddr_in sin = addr_to_sys(local);
	struct status st = {0};
	char text[ADDR_TEXT_MAX];
	int size = RECV_BUFFER_SIZE;
	int rc;

	u->receive = receive;
	u->ctx = ctx;
	uv_udp_init_ex(loop, &u->handle, AF_INET | UV_UDP_RECVMMSG);
	u->handle.data = u;
	u->open = true;
	rc = uv_udp_bind(&u->handle, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&u->handle, on_alloc, on_receive);
	if (rc != 0) {
		status_set(&st, STATUS_INVALID, "UDP %s: %s",
		    addr_text(local, text), uv_strerror(rc));
		return st;
	}
	uv_recv_buffer_size((uv_handle_t *)&u->handle, &size);
	return st;
}

bool
udp_send(struct udp *u, struct addr to, struct str dgram)
{
	struct sockaddr_in sin = addr_to_sys(to);
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)dgram.p, (unsigned)dgram.len);

	return uv_udp_try_send(&u->handle, &buf, 1, (struct sockaddr *)&sin) >=
	       0;
}

void
udp_close(struct udp *u, uv_close_cb closed)
{
	if (!u->open)
		return;
	u->open = false;
	uv_close((uv_handle_t *)&u->handle, closed);
}
