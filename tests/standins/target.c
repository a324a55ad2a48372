/**
 * @file target.c
 * Stand-in for a target, on libcoap's server. It runs tickets (POST /run),
 * serves a document of 1 MiB in blocks (GET /document) and a feed that changes
 * every second (GET /feed, Observe). It appends a line to RUNS_FILE for each
 * ticket that it runs, and answers SHED_PERCENT of the requests with 5.03.
 *
 * usage: target IP:PORT SERVICE SLOTS WORK_MS RUNS_FILE [SHED_PERCENT]
 */
#include "base/rng.h"
#include "base/str.h"
#include "document.h"

#include <coap3/coap.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *service;
static const char *address;
static int slots;
static int work_ms;
static int shed_percent;
static int busy_slots;
static int runs_fd;
static uint8_t *document;
static struct rng rng;
static volatile sig_atomic_t stopping;

static void
on_signal(int sig)
{
	(void)sig;
	stopping = 1;
}

static bool
reject_if_busy(coap_pdu_t *response)
{
	if (busy_slots < slots &&
	    !rng_chance(&rng, (unsigned)shed_percent * 10000))
		return false;
	coap_pdu_set_code(response, COAP_RESPONSE_CODE(503));
	return true;
}

static void
record_run(const uint8_t *id, size_t len)
{
	char line[256];
	int n = snprintf(line, sizeof(line), "%s %.*s %s\n", service, (int)len,
	    (const char *)id, address);

	if (write(runs_fd, line, (size_t)n) != n)
		abort();
}

/*
 * A ticket takes WORK_MS on average. Its response is separate from the ACK:
 * libcoap calls this handler again when the time is over.
 */
static void
on_run(coap_resource_t *r, coap_session_t *s, const coap_pdu_t *request,
    const coap_string_t *query, coap_pdu_t *response)
{
	coap_async_t *async = coap_find_async(s, coap_pdu_get_token(request));
	const uint8_t *id = NULL;
	size_t len = 0;
	char text[256];
	int n;

	(void)r;
	(void)query;
	coap_get_data(request, &len, &id);
	if (async == NULL) {
		uint64_t ms = (uint64_t)work_ms / 2 +
			      rng_below(&rng, (uint64_t)work_ms + 1);

		if (reject_if_busy(response))
			return;
		busy_slots++;
		record_run(id, len);
		coap_register_async(s, request,
		    (coap_tick_t)(ms * COAP_TICKS_PER_SECOND / 1000 + 1));
		return;
	}
	busy_slots--;
	n = snprintf(text, sizeof(text), "%s ran %.*s", service, (int)len,
	    (const char *)id);
	coap_pdu_set_code(response, COAP_RESPONSE_CODE(201));
	coap_add_data(response, (size_t)n, (uint8_t *)text);
}

static void
on_document(coap_resource_t *r, coap_session_t *s, const coap_pdu_t *request,
    const coap_string_t *query, coap_pdu_t *response)
{
	(void)r;
	(void)s;
	(void)query;
	if (reject_if_busy(response))
		return;
	coap_pdu_set_code(response, COAP_RESPONSE_CODE(205));
	coap_add_data_blocked_response(request, response,
	    COAP_MEDIATYPE_APPLICATION_OCTET_STREAM, -1, DOCUMENT_BYTES,
	    document);
}

static void
on_feed(coap_resource_t *r, coap_session_t *s, const coap_pdu_t *request,
    const coap_string_t *query, coap_pdu_t *response)
{
	struct timespec ts;
	char text[128];
	int n;

	(void)r;
	(void)s;
	(void)request;
	(void)query;
	clock_gettime(CLOCK_REALTIME, &ts);
	n = snprintf(text, sizeof(text), "%s at %lld", service,
	    (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000);
	coap_pdu_set_code(response, COAP_RESPONSE_CODE(205));
	coap_add_data(response, (size_t)n, (uint8_t *)text);
}

static coap_resource_t *
add_resource(coap_context_t *ctx, const char *path, coap_request_t method,
    coap_method_handler_t handler)
{
	coap_resource_t *r = coap_resource_init(coap_make_str_const(path), 0);

	coap_register_handler(r, method, handler);
	coap_add_resource(ctx, r);
	return r;
}

int
main(int argc, char **argv)
{
	coap_context_t *ctx;
	coap_resource_t *feed;
	coap_address_t local;
	struct addr a;
	time_t last = 0;

	if (argc < 6 || !addr_parse(str_of(argv[1]), &a)) {
		fprintf(stderr,
		    "usage: target IP:PORT SERVICE SLOTS WORK_MS RUNS_FILE "
		    "[SHED_PERCENT]\n");
		return 64;
	}
	address = argv[1];
	service = argv[2];
	slots = atoi(argv[3]);
	work_ms = atoi(argv[4]);
	runs_fd = open(argv[5], O_WRONLY | O_APPEND | O_CREAT, 0644);
	shed_percent = argc > 6 ? atoi(argv[6]) : 0;
	rng_init(&rng, addr_pack(a));
	document = document_create(service);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	coap_startup();
	coap_address_init(&local);
	local.addr.sin.sin_family = AF_INET;
	local.addr.sin.sin_addr.s_addr = htonl(a.ip);
	local.addr.sin.sin_port = htons(a.port);
	local.size = sizeof(local.addr.sin);
	ctx = coap_new_context(NULL);
	if (coap_new_endpoint(ctx, &local, COAP_PROTO_UDP) == NULL)
		return 71;
	add_resource(ctx, "run", COAP_REQUEST_POST, on_run);
	add_resource(ctx, "document", COAP_REQUEST_GET, on_document);
	feed = add_resource(ctx, "feed", COAP_REQUEST_GET, on_feed);
	coap_resource_set_get_observable(feed, 1);
	while (!stopping) {
		coap_io_process(ctx, 50);
		if (time(NULL) != last) {
			last = time(NULL);
			coap_resource_notify_observers(feed, NULL);
		}
	}
	coap_free_context(ctx);
	return 0;
}
