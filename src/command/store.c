#include "command/store.h"

#include "codec/config_object.h"
#include "task/fetch.h"
#include "task/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Timeout of a request, in ms. */
#define REQUEST_TIMEOUT_MS 3000L

/** The result of a request, kept after the event loop has ended. */
struct answer {
	enum sub_result result;
	char *body;
	size_t len;
	char etag[SUB_ID_MAX];
};

static enum sub_result
to_sub_result(const struct fetch_result *r)
{
	if (r->outcome == FETCH_UNREACHABLE)
		return SUB_RATE_LIMITED;
	if (r->outcome != FETCH_RESPONSE)
		return SUB_NO_ANSWER;
	switch (r->status) {
	case 200:
	case 201:
	case 204:
		return SUB_OK;
	case 404:
		return SUB_MISSING;
	case 409:
	case 412:
		return SUB_CONFLICT;
	case 429:
		return SUB_RATE_LIMITED;
	default:
		return r->status >= 500 ? SUB_NO_ANSWER : SUB_REJECTED;
	}
}

static void
on_done(void *ctx, const struct fetch_result *r)
{
	struct answer *answer = ctx;

	answer->result = to_sub_result(r);
	answer->body = (char *)str_dup((struct str){r->body, r->len});
	answer->len = r->len;
	str_copy(answer->etag, sizeof(answer->etag), str_of(r->etag));
}

/* Run one request on an event loop of its own. The idle connection keeps the
 * loop alive, so the loop ends with the request. */
static void
perform_request(const struct settings *set, const char *body,
    const char *condition, struct answer *answer)
{
	char url[SETTINGS_TEXT_MAX + 64];
	const struct fetch_request request = {.url = url,
	    .method = body != NULL ? "PUT" : NULL,
	    .body = body,
	    .header = condition,
	    .timeout_ms = REQUEST_TIMEOUT_MS};
	struct fetcher *fetcher;
	uv_loop_t loop;

	snprintf(url, sizeof(url), "%s%s", set->platform, PLAT_CONFIG_PATH);
	uv_loop_init(&loop);
	fetcher = fetcher_new(&loop);
	fetch_start(fetcher, &request, on_done, answer);
	while (answer->body == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	fetcher_free(fetcher);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

enum sub_result
store_read(
    const struct settings *set, struct sub_object *obj, char etag[SUB_ID_MAX])
{
	struct answer answer = {0};

	perform_request(set, NULL, NULL, &answer);
	if (answer.result == SUB_OK &&
	    !config_object_decode((struct str){answer.body, answer.len}, obj))
		answer.result = SUB_MALFORMED;
	str_copy(etag, SUB_ID_MAX, str_of(answer.etag));
	free(answer.body);
	return answer.result;
}

enum sub_result
store_write(
    const struct settings *set, const struct sub_object *obj, const char *etag)
{
	char condition[SUB_ID_MAX + 32];
	struct answer answer = {0};
	char *body = config_object_encode(obj);

	if (body == NULL)
		return SUB_REJECTED;
	if (etag[0] != '\0')
		snprintf(condition, sizeof(condition), "If-Match: %s", etag);
	else
		str_copy(
		    condition, sizeof(condition), str_of("If-None-Match: *"));
	perform_request(set, body, condition, &answer);
	free(body);
	free(answer.body);
	return answer.result;
}
