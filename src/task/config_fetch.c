#include "task/config_fetch.h"

#include "base/clock.h"
#include "base/event.h"
#include "codec/routes_wire.h"
#include "task/flow_node.h"

#include <stdio.h>

/** Timeout in ms of reading the configuration from another process. */
#define TIMEOUT_MS 1200L
/** Pause in ms after such a read that failed. */
#define RETRY_MS 200
/** The same for the process whose copy was too large or malformed. A version
 * has to be in force 3 s after its acknowledgement. */
#define REJECTED_RETRY_MS 2000

static void
on_done(void *ctx, const struct fetch_result *r)
{
	struct config_fetch *f = ctx;
	const struct str encoded = {r->body, r->len};
	struct routes routes;

	f->fetch = NULL;
	f->failed_ns = flow_node_now();
	f->rejected = 0;
	if (fetch_is_unacceptable(r->outcome))
		f->rejected = f->from;
	if (r->outcome != FETCH_RESPONSE || r->status != 200) {
		event("config_fetch_failed", "s:i, s:s", "status",
		    (int)r->status, "error", fetch_error(r->outcome));
		return;
	}
	if (!routes_wire_decode(encoded, &routes)) {
		f->rejected = f->from;
		ctr_inc(f->ctr, CTR_CONFIG_BAD);
		event("configuration_malformed", "s:s", "error",
		    "cannot decode routes received from another process");
		return;
	}
	f->failed_ns = 0;
	f->read(f->ctx, &routes, encoded);
	routes_clear(&routes);
}

void
config_fetch_start(struct config_fetch *f, uint64_t from, uint64_t now)
{
	char text[ADDR_TEXT_MAX];
	char url[64];
	const struct fetch_request request = {
	    .url = url, .timeout_ms = TIMEOUT_MS};

	uint64_t pause_ms = f->rejected != 0 && f->rejected == from
				? REJECTED_RETRY_MS
				: RETRY_MS;

	if (from == 0 || f->fetch != NULL ||
	    now < f->failed_ns + pause_ms * NS_PER_MS)
		return;
	f->from = from;
	snprintf(url, sizeof(url), "http://%s" CONFIG_FETCH_PATH,
	    addr_text(addr_unpack(from), text));
	f->fetch = fetch_start(f->fetcher, &request, on_done, f);
}

void
config_fetch_cancel(struct config_fetch *f)
{
	fetch_cancel(f->fetch);
	f->fetch = NULL;
}
