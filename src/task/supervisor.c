#include "task/supervisor.h"

#include "base/log.h"

#include <signal.h>
#include <stdlib.h>
#include <sysexits.h>

#define LOG_MODULE "supervisor"

static void
stop_all(struct supervisor *s)
{
	for (size_t i = s->count; i-- > 0;) {
		if (s->tasks[i].running)
			s->tasks[i].stop(s->tasks[i].self);
		s->tasks[i].running = false;
	}
	if (!uv_is_closing((uv_handle_t *)&s->term)) {
		uv_close((uv_handle_t *)&s->term, NULL);
		uv_close((uv_handle_t *)&s->interrupt, NULL);
	}
}

static void
on_signal(uv_signal_t *sig, int number)
{
	struct supervisor *s = sig->data;

	(void)number;
	if (s->leaving) {
		LOG_WARN("Second signal received, stopping immediately.");
		s->exit_code = EX_TEMPFAIL;
		stop_all(s);
		uv_stop(s->loop);
		return;
	}
	s->leaving = true;
	LOG_NOTE("Stopping gracefully; a second signal stops immediately.");
	s->leave(s->ctx);
}

void
sup_init(
    struct supervisor *s, uv_loop_t *loop, void (*leave)(void *ctx), void *ctx)
{
	*s = (struct supervisor){.loop = loop, .leave = leave, .ctx = ctx};
	uv_signal_init(loop, &s->term);
	uv_signal_init(loop, &s->interrupt);
	s->term.data = s;
	s->interrupt.data = s;
}

void
sup_add(struct supervisor *s, const char *name,
    struct status (*start)(void *self), void (*stop)(void *self), void *self)
{
	if (s->count == SUP_TASKS_MAX)
		abort();
	s->tasks[s->count++] = (struct task){
	    .name = name, .start = start, .stop = stop, .self = self};
}

void
sup_fail(struct supervisor *s, int exit_code)
{
	s->exit_code = exit_code;
	stop_all(s);
}

void
sup_finish(struct supervisor *s)
{
	stop_all(s);
}

static void
close_handle(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

int
sup_run(struct supervisor *s)
{
	for (size_t i = 0; i < s->count; i++) {
		struct task *t = &s->tasks[i];
		struct status st = t->start(t->self);

		if (st.code != STATUS_OK) {
			LOG_ERROR(
			    "Cannot start task %s: %s", t->name, st.message);
			s->exit_code = EX_OSERR;
			stop_all(s);
			break;
		}
		t->running = true;
	}
	if (s->exit_code == 0) {
		uv_signal_start(&s->term, on_signal, SIGTERM);
		uv_signal_start(&s->interrupt, on_signal, SIGINT);
		uv_run(s->loop, UV_RUN_DEFAULT);
	}
	uv_walk(s->loop, close_handle, NULL);
	uv_run(s->loop, UV_RUN_NOWAIT);
	return s->exit_code;
}
