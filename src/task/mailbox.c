#include "task/mailbox.h"

#include <stdlib.h>

static void
deliver_all(uv_async_t *async)
{
	struct mailbox *b = async->data;

	while (b->head != NULL) {
		struct mail *m = b->head;

		b->head = m->next;
		if (b->head == NULL)
			b->tail = &b->head;
		b->deliver(b->ctx, m);
		free(m->text);
		free(m);
	}
}

int
mbox_open(struct mailbox *b, uv_loop_t *loop,
    void (*deliver)(void *ctx, struct mail *m), void *ctx)
{
	b->head = NULL;
	b->tail = &b->head;
	b->deliver = deliver;
	b->ctx = ctx;
	b->async.data = b;
	b->open = true;
	return uv_async_init(loop, &b->async, deliver_all);
}

void
mbox_post(struct mailbox *b, const struct mail *m)
{
	struct mail *copy;

	if (!b->open) {
		free(m->text);
		return;
	}
	copy = mem_new(sizeof(*copy));
	*copy = *m;
	copy->next = NULL;
	*b->tail = copy;
	b->tail = &copy->next;
	uv_async_send(&b->async);
}

void
mbox_close(struct mailbox *b)
{
	if (!b->open)
		return;
	b->open = false;
	while (b->head != NULL) {
		struct mail *m = b->head;

		b->head = m->next;
		free(m->text);
		free(m);
	}
	uv_close((uv_handle_t *)&b->async, NULL);
}
