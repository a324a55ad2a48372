#include "task/target_check.h"

#include "task/udp.h"

#include <stdlib.h>

struct target_check {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	unsigned open_handles; /**< handles that are not closed yet */
	target_check_done done;
	void *ctx;
};

static void
on_closed(uv_handle_t *h)
{
	struct target_check *c = h->data;

	if (--c->open_handles == 0)
		free(c);
}

void
target_check_cancel(struct target_check *c)
{
	if (c == NULL)
		return;
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
finish(struct target_check *c, enum fa_check_result result)
{
	target_check_cancel(c);
	c->done(c->ctx, result);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct target_check *c = connect->data;

	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	finish(c, status == 0		      ? FA_CHECK_ACCEPTED
		  : status == UV_ECONNREFUSED ? FA_CHECK_REFUSED
					      : FA_CHECK_NO_REPLY);
}

static void
on_timeout(uv_timer_t *timer)
{
	finish(timer->data, FA_CHECK_NO_REPLY);
}

struct target_check *
target_check_start(
    uv_loop_t *loop, struct addr target, target_check_done done, void *ctx)
{
	struct target_check *c = mem_new(sizeof(*c));
	struct sockaddr_in sin = addr_to_sys(target);
	uint64_t timeout_ms = TARGET_CHECK_TIMEOUT_MS;

	c->done = done;
	c->ctx = ctx;
	c->open_handles = 2;
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	c->connect.data = c;
	if (uv_tcp_connect(&c->connect, &c->tcp, (struct sockaddr *)&sin,
		on_connected) != 0)
		timeout_ms = 0;
	uv_timer_start(&c->timer, on_timeout, timeout_ms, 0);
	return c;
}
