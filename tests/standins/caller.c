/**
 * @file caller.c
 * Stand-in for callers, on libcoap's client. Each caller has its own socket
 * and compares every response with the whole expected body.
 *
 * usage: caller SECONDS clerk|owner|reader COUNT VIP:PORT SERVICE NAME [MS]
 *
 * clerk: posts tickets one after another, with a pause of MS (50 by default).
 *   It posts a ticket again after "not run", but not after an unknown outcome.
 * owner: downloads the document repeatedly, with the same pause.
 * reader: observes the feed.
 *
 * Prints "ran ID" for each ticket whose response reports a run, and at the
 * end "KIND requests N lost N cut N misdelivered N broken N refused N unknown
 * N p50 MS p99 MS".
 */
#include "base/rng.h"
#include "base/str.h"
#include "document.h"

#include <coap3/coap.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CALLERS_MAX 256
#define LATENCIES_MAX 200000
/** Time in ms without a notification after which a feed is broken. */
#define FEED_TIMEOUT_MS 15000
/** Time in ms that open requests have to finish after the run. */
#define DRAIN_TIMEOUT_MS 60000

enum kind {
	CLERK,
	OWNER,
	READER
};

struct caller {
	coap_session_t *session;
	int index;
	unsigned serial;
	int open;
	int64_t started_ms;
	int64_t next_ms;
	int64_t last_update_ms;
	long long feed_time_ms;
	unsigned attempts;
};

static struct {
	long requests;
	long lost;
	long truncated;
	long misdelivered;
	long broken;
	long refused;
	long unknown;
} totals;

static enum kind kind;
static const char *service;
static const char *name;
static struct caller callers[CALLERS_MAX];
static int caller_count;
static int interval_ms = 50;
static uint8_t *document;
static int latencies[LATENCIES_MAX];
static size_t latency_count;
static volatile sig_atomic_t stopping;

static void
on_signal(int sig)
{
	(void)sig;
	stopping = 1;
}

static int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
send_request(struct caller *c)
{
	static const char *const paths[] = {"run", "document", "feed"};
	coap_pdu_t *pdu = coap_pdu_init(COAP_MESSAGE_CON,
	    kind == CLERK ? COAP_REQUEST_CODE_POST : COAP_REQUEST_CODE_GET,
	    coap_new_message_id(c->session),
	    coap_session_max_pdu_size(c->session));
	uint8_t token[8];
	size_t len = sizeof(token);
	char id[64];

	coap_session_new_token(c->session, &len, token);
	coap_add_token(pdu, len, token);
	if (kind == READER)
		coap_add_option(pdu, COAP_OPTION_OBSERVE, 0, NULL);
	coap_add_option(pdu, COAP_OPTION_URI_PATH, strlen(paths[kind]),
	    (const uint8_t *)paths[kind]);
	if (kind == CLERK) {
		snprintf(id, sizeof(id), "%s-%d-%u", name, c->index, c->serial);
		coap_add_data(pdu, strlen(id), (uint8_t *)id);
	}
	c->open = 1;
	c->started_ms = now_ms();
	c->last_update_ms = c->started_ms;
	coap_send(c->session, pdu);
}

static void
close_request(struct caller *c, bool retry)
{
	if (latency_count < LATENCIES_MAX && !retry)
		latencies[latency_count++] = (int)(now_ms() - c->started_ms);
	c->open = 0;
	if (!retry) {
		totals.requests++;
		c->serial++;
		c->attempts = 0;
	}
	c->next_ms = now_ms() + interval_ms + (retry ? 200 : 0);
}

static void
handle_ticket(struct caller *c, int code, struct str body)
{
	char want[128];

	if (code == COAP_RESPONSE_CODE(201)) {
		snprintf(want, sizeof(want), "%s ran %s-%d-%u", service, name,
		    c->index, c->serial);
		if (!str_is(body, want)) {
			totals.misdelivered++;
			printf("misdelivered want %s got %.*s\n", want,
			    (int)body.len, body.p);
		}
		printf("ran %s-%d-%u\n", name, c->index, c->serial);
		close_request(c, false);
		return;
	}
	if (body.len > 7 && memcmp(body.p, "not run", 7) == 0) {
		totals.refused++;
		c->attempts++;
		close_request(c, true);
		return;
	}
	if (body.len > 7 && memcmp(body.p, "outcome", 7) == 0) {
		totals.unknown++;
		printf("unknown %s-%d-%u\n", name, c->index, c->serial);
		close_request(c, false);
		return;
	}
	totals.misdelivered++;
	printf("misdelivered code %d body %.*s\n", code, (int)body.len, body.p);
	close_request(c, false);
}

static void
handle_document(struct caller *c, const coap_pdu_t *pdu)
{
	const uint8_t *data = NULL;
	size_t len = 0;
	size_t offset = 0;
	size_t total = 0;

	if (coap_pdu_get_code(pdu) != COAP_RESPONSE_CODE(205)) {
		totals.refused++;
		close_request(c, true);
		return;
	}
	coap_get_data_large(pdu, &len, &data, &offset, &total);
	if (len != DOCUMENT_BYTES || total != DOCUMENT_BYTES) {
		totals.truncated++;
		printf("document truncated: %zu of %zu bytes\n", len, total);
	} else if (memcmp(data, document, len) != 0) {
		totals.misdelivered++;
	}
	close_request(c, false);
}

static void
handle_feed(struct caller *c, struct str body)
{
	char prefix[64];
	char digits[32];
	long long at;

	snprintf(prefix, sizeof(prefix), "%s at ", service);
	if (body.len <= strlen(prefix) ||
	    memcmp(body.p, prefix, strlen(prefix)) != 0) {
		printf("feed refused: %.*s\n", (int)body.len, body.p);
		totals.refused++;
		c->open = 0;
		c->next_ms = now_ms() + 500;
		return;
	}
	/* The payload is not NUL-terminated. */
	str_copy(digits, sizeof(digits),
	    (struct str){body.p + strlen(prefix), body.len - strlen(prefix)});
	at = strtoll(digits, NULL, 10);
	if (at < c->feed_time_ms) {
		totals.misdelivered++;
		printf("feed timestamp is %lld ms older than the last\n",
		    c->feed_time_ms - at);
	}
	c->feed_time_ms = at;
	c->last_update_ms = now_ms();
	totals.requests++;
}

static coap_response_t
on_response(coap_session_t *s, const coap_pdu_t *sent,
    const coap_pdu_t *received, const coap_mid_t mid)
{
	struct caller *c = coap_session_get_app_data(s);
	const uint8_t *data = NULL;
	size_t len = 0;

	(void)mid;
	/*
	 * libcoap also delivers responses to requests that it has dropped,
	 * with sent == NULL. A valid response to a ticket has its request.
	 */
	if (!c->open || (kind == CLERK && sent == NULL))
		return COAP_RESPONSE_OK;
	coap_get_data(received, &len, &data);
	if (kind == CLERK)
		handle_ticket(c, coap_pdu_get_code(received),
		    (struct str){(const char *)data, len});
	else if (kind == OWNER)
		handle_document(c, received);
	else
		handle_feed(c, (struct str){(const char *)data, len});
	return COAP_RESPONSE_OK;
}

static void
on_nack(coap_session_t *s, const coap_pdu_t *sent,
    const coap_nack_reason_t reason, const coap_mid_t mid)
{
	struct caller *c = coap_session_get_app_data(s);

	(void)sent;
	(void)mid;
	if (c == NULL || !c->open)
		return;
	totals.lost++;
	printf("lost %s-%d-%u reason %d\n", name, c->index, c->serial, reason);
	close_request(c, false);
}

static int
compare_ints(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

static int
percentile(unsigned percent)
{
	if (latency_count == 0)
		return 0;
	return latencies[(latency_count - 1) * percent / 100];
}

static void
print_totals(void)
{
	static const char *const kinds[] = {"clerk", "owner", "reader"};

	for (int i = 0; i < caller_count; i++) {
		struct caller *c = &callers[i];

		if (kind == READER) {
			if (now_ms() - c->last_update_ms > FEED_TIMEOUT_MS ||
			    c->feed_time_ms == 0)
				totals.broken++;
		} else if (c->open) {
			totals.lost++;
			printf("no response before the end to %s-%d-%u\n", name,
			    c->index, c->serial);
		}
	}
	qsort(latencies, latency_count, sizeof(int), compare_ints);
	printf("%s requests %ld lost %ld cut %ld misdelivered %ld broken %ld "
	       "refused %ld unknown %ld p50 %d p99 %d\n",
	    kinds[kind], totals.requests, totals.lost, totals.truncated,
	    totals.misdelivered, totals.broken, totals.refused, totals.unknown,
	    percentile(50), percentile(99));
}

static int
count_open_requests(void)
{
	int n = 0;

	for (int i = 0; i < caller_count; i++)
		n += callers[i].open;
	return n;
}

static void
run(coap_context_t *ctx, int64_t end_ms)
{
	while (!stopping && now_ms() < end_ms + DRAIN_TIMEOUT_MS) {
		bool ending = now_ms() >= end_ms;

		if (ending && (kind == READER || count_open_requests() == 0))
			return;
		for (int i = 0; i < caller_count && !ending; i++) {
			struct caller *c = &callers[i];

			if (!c->open && now_ms() >= c->next_ms)
				send_request(c);
		}
		coap_io_process(ctx, 10);
	}
}

int
main(int argc, char **argv)
{
	coap_context_t *ctx;
	coap_address_t to;
	struct addr a;

	if (argc < 7 || !addr_parse(str_of(argv[4]), &a)) {
		fprintf(stderr,
		    "usage: caller SECONDS clerk|owner|reader COUNT "
		    "VIP:PORT SERVICE NAME [MS]\n");
		return 64;
	}
	kind = strcmp(argv[2], "clerk") == 0   ? CLERK
	       : strcmp(argv[2], "owner") == 0 ? OWNER
					       : READER;
	caller_count = atoi(argv[3]);
	if (caller_count > CALLERS_MAX)
		caller_count = CALLERS_MAX;
	service = argv[5];
	name = argv[6];
	interval_ms = argc > 7 ? atoi(argv[7]) : 50;
	document = document_create(service);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	setvbuf(stdout, NULL, _IOLBF, 0);
	coap_startup();
	coap_set_log_level(LOG_ERR);
	ctx = coap_new_context(NULL);
	coap_context_set_block_mode(
	    ctx, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(ctx, on_response);
	coap_register_nack_handler(ctx, on_nack);
	coap_address_init(&to);
	to.addr.sin.sin_family = AF_INET;
	to.addr.sin.sin_addr.s_addr = htonl(a.ip);
	to.addr.sin.sin_port = htons(a.port);
	to.size = sizeof(to.addr.sin);
	for (int i = 0; i < caller_count; i++) {
		callers[i].index = i;
		callers[i].next_ms = now_ms() + i * 20;
		callers[i].session =
		    coap_new_client_session(ctx, NULL, &to, COAP_PROTO_UDP);
		coap_session_set_app_data(callers[i].session, &callers[i]);
	}
	run(ctx, now_ms() + atoll(argv[1]) * 1000);
	print_totals();
	return 0;
}
