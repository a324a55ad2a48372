#include "platform.h"

#include "base/rng.h"
#include "codec/flow_wire.h"
#include "codec/routes_wire.h"
#include "codec/snapshot_wire.h"
#include "flow_commands.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t
parse_hex(const char *hex, char *out, size_t cap)
{
	size_t n = 0;
	unsigned byte;

	while (n < cap && sscanf(hex, "%2x", &byte) == 1) {
		out[n++] = (char)byte;
		hex += 2;
	}
	return n;
}

static void
print_hex(const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++)
		script_printf("%02x", (unsigned char)bytes[i]);
	script_printf("\n");
}

/*
 * packet caller|target HEX: decodes a packet, marks it as a probe with a
 * service tag, and writes a reset for its flow
 */
void
do_packet(const char *arg, const char *body)
{
	static const char *const outcomes[] = {"", " served", " failed"};
	const struct platform_ops *e = &platform_edge;
	struct words w;
	char bytes[FLOW_PACKET_MAX];
	char reset[FLOW_PACKET_MAX];
	char caller[ADDR_TEXT_MAX];
	char service[ADDR_TEXT_MAX];
	struct flow_packet p;
	size_t len;

	(void)body;
	words_split(&w, arg);
	len = parse_hex(w.word[1], bytes, sizeof(bytes));
	if (!e->read_packet((struct str){bytes, len},
		strcmp(w.word[0], "caller") == 0 ? FLOW_FROM_CALLER
						 : FLOW_FROM_TARGET,
		&p)) {
		script_printf("  malformed\n");
		return;
	}
	script_printf(
	    "  caller %s service %s seq %x ack %x flags %u copy %u data "
	    "%zu%s\n",
	    addr_text(addr_unpack(p.flow.caller), caller),
	    addr_text(addr_unpack(p.flow.service), service), p.seq, p.ack,
	    p.flags, p.copy, p.data, outcomes[p.outcome]);
	e->mark_packet(bytes, len,
	    &(struct flow_mark){.service = 0x01020304,
		.probe = true,
		.priority = 2,
		.latency_ms = 205});
	script_printf("  marked ");
	print_hex(bytes, len);
	e->read_packet((struct str){bytes, len}, FLOW_FROM_CALLER, &p);
	script_printf("  tag %x probe %d returned %d priority %d latency %u\n",
	    p.tag, p.probe, (p.flags & FLOW_RETURNED) != 0, p.priority,
	    p.latency_ms);
	script_printf("  reset ");
	print_hex(reset, e->write_reset(&p.flow, 5, reset, sizeof(reset)));
}

/* record [CALLER...] << BODY: encodes a snapshot as a record, or decodes one */
void
do_record(const char *arg, const char *body)
{
	const struct platform_ops *e = &platform_edge;
	struct words w;
	struct snapshot s = {.target_id = 7, .target_started_ms = 1000};
	struct str in = str_of(body);
	struct status st;
	char path[PLATFORM_PATH_MAX];
	char *text = NULL, *bytes;
	uint8_t *encoded;
	size_t len;

	words_split(&w, arg);
	if (w.count > 0) {
		s.flows = mem_grow(NULL, w.count, sizeof(*s.flows));
		for (; s.count < w.count; s.count++)
			s.flows[s.count] = (struct snapshot_flow){
			    parse_flow(w.word[s.count], "s1"), 5};
		encoded = snapshot_wire_encode(&s, &len);
		text = e->record_body(
		    "10.0.0.1:8080", (struct str){(char *)encoded, len});
		e->record_path("10.0.0.1:8080", path);
		script_printf("  %s %s\n", path, text);
		in = str_of(text);
		free(encoded);
		snapshot_clear(&s);
	}
	st = e->read_record(in, &bytes, &len);
	if (st.code != STATUS_OK) {
		script_printf("  %s\n", st.message);
	} else if (!snapshot_wire_decode((struct str){bytes, len}, &s)) {
		script_printf("  not a snapshot\n");
	} else {
		script_printf("  target %llu started %llu:",
		    (unsigned long long)s.target_id,
		    (unsigned long long)s.target_started_ms);
		for (size_t i = 0; i < s.count; i++)
			script_printf(" %s at %u",
			    format_address_name(s.flows[i].flow.caller),
			    s.flows[i].caller_ack);
		script_printf("\n");
	}
	snapshot_clear(&s);
	free(bytes);
	free(text);
}

/* call METHOD PATH << BODY: a status message that a target sends */
void
do_call(const char *arg, const char *body)
{
	struct words w;
	struct target_heartbeat t;
	struct status st;
	char address[ADDR_TEXT_MAX];

	words_split(&w, arg);
	st = platform_edge.read_heartbeat(
	    str_of(w.word[0]), str_of(w.word[1]), str_of(body), &t);
	if (st.code != STATUS_OK) {
		script_printf("  %s\n", st.message);
		return;
	}
	script_printf(
	    "  state %d born %llu sequence %llu slots %u cold %u at %s\n",
	    (int)t.state, (unsigned long long)t.started_ms,
	    (unsigned long long)t.sequence, t.slots, t.cold_ms,
	    addr_text(t.address, address));
}

static void
print_route(const struct flow_route *r)
{
	char at[ADDR_TEXT_MAX];

	script_printf("  %s", addr_text(addr_unpack(r->at), at));
	for (size_t i = 0; i < r->count; i++)
		script_printf(
		    " %08x*%u", r->shares[i].service, r->shares[i].weight);
	script_printf(" priority %d latency %u timeout %u kind %u\n",
	    r->priority, r->latency_ms, r->timeout_ms, r->kind);
}

static void
print_services(const struct routes *routes)
{
	struct service_limits *s, *next;

	HASH_ITER(hh, routes->services, s, next)
	{
		script_printf("  service %08x cold %u ms, %u/1000 a second\n",
		    s->service, s->cold_ms, s->cold_per_s_milli);
	}
}

/* config_path: prints the call that reads the configuration */
void
do_config_path(const char *arg, const char *body)
{
	char path[PLATFORM_PATH_MAX];

	(void)arg;
	(void)body;
	platform_edge.config_path(path);
	script_printf("  %s\n", path);
}

/* config << JSON: the store's reply with the configuration */
void
do_config(const char *arg, const char *body)
{
	struct platform_config c;
	struct routes decoded;
	uint8_t *encoded;
	size_t len;
	struct status st = platform_edge.read_config(str_of(body), &c);
	struct flow_route *r, *next;

	(void)arg;
	if (st.code != STATUS_OK) {
		script_printf("  %s\n", st.message);
		return;
	}
	script_printf("  version %llu idle %llu revision %llu\n",
	    (unsigned long long)c.routes.version,
	    (unsigned long long)c.routes.idle_ms,
	    (unsigned long long)c.revision);
	HASH_ITER(hh, c.routes.table, r, next)
	{
		print_route(r);
	}
	print_services(&c.routes);
	encoded = routes_wire_encode(&c.routes, &len);
	if (routes_wire_decode((struct str){(char *)encoded, len}, &decoded)) {
		script_printf(
		    "  encoded in %zu bytes: version %llu, %u routes\n", len,
		    (unsigned long long)decoded.version,
		    HASH_COUNT(decoded.table));
		HASH_ITER(hh, decoded.table, r, next)
		{
			print_route(r);
		}
		print_services(&decoded);
	}
	routes_clear(&decoded);
	/* Decoding a truncated message must not crash. */
	for (size_t cut = 0; cut < len; cut++) {
		routes_wire_decode(
		    (struct str){(char *)encoded, cut}, &decoded);
		routes_clear(&decoded);
	}
	free(encoded);
	routes_clear(&c.routes);
}

/* members << JSON: the store's reply with the list of balancers */
void
do_members(const char *arg, const char *body)
{
	static struct balancer_entries list;
	struct status st = platform_edge.read_entries(str_of(body), &list);
	char path[PLATFORM_PATH_MAX];

	(void)arg;
	if (st.code != STATUS_OK) {
		script_printf("  %s\n", st.message);
		return;
	}
	for (size_t i = 0; i < list.count; i++) {
		char at[ADDR_TEXT_MAX];
		char *entry = platform_edge.entry_body(&list.items[i], "east");

		platform_edge.entry_path(
		    list.items[i].name, list.items[i].revision, path);
		script_printf("  %s at %s, revision %llu: %s %s\n",
		    list.items[i].name,
		    addr_text(addr_unpack(list.items[i].id), at),
		    (unsigned long long)list.items[i].revision, path, entry);
		free(entry);
	}
	platform_edge.entries_path(list.after, path);
	script_printf("  %zu malformed, more %d, next %s\n", list.malformed,
	    list.more, path);
}

/*
 * mutate SEED COUNT << BODY: no decoder of the store's responses or of a
 * target's calls crashes on copies of the body with random bytes replaced
 */
void
do_mutate(const char *arg, const char *body)
{
	static const char bytes[] = "\"\\[]{},:0e\xff\xed\x80\n";
	static struct balancer_entries entries;
	static struct platform_evacuations evacuations;
	const struct platform_ops *ops = &platform_edge;
	struct target_heartbeat heartbeat;
	struct balancer_entry entry;
	struct platform_config config;
	struct words w;
	struct rng rng;
	struct str copy = {NULL, strlen(body)};
	unsigned listed = 0;

	words_split(&w, arg);
	rng_init(&rng, words_get_u32(&w, 0));
	for (uint32_t i = 0; i < words_get_u32(&w, 1); i++) {
		char *text = (char *)str_dup((struct str){body, copy.len});
		char *record;
		size_t len;

		/* sizeof counts the NUL at the end of the bytes, too. */
		for (uint32_t k = 0; k <= i % 4; k++)
			text[rng_below(&rng, copy.len)] =
			    bytes[rng_below(&rng, sizeof(bytes))];
		copy.p = text;
		if (ops->read_entries(copy, &entries).code == STATUS_OK)
			listed++;
		ops->read_evacuations(copy, &evacuations);
		ops->read_config(copy, &config);
		routes_clear(&config.routes);
		ops->read_entry(copy, &entry);
		ops->read_record(copy, &record, &len);
		free(record);
		ops->read_heartbeat(
		    str_of("PUT"), str_of("/v1/instances/i"), copy, &heartbeat);
		free(text);
	}
	script_printf("  %u were lists\n", listed);
}

/*
 * frames SEED COUNT: random messages are decoded as they were encoded, and
 * decoding corrupt ones does not crash
 */
void
do_frames(const char *arg, const char *body)
{
	static struct flow_arena arena;
	static struct flow_msg m;
	static struct flow_msg back;
	struct words w;
	struct rng rng;
	unsigned intact_count = 0;

	(void)body;
	words_split(&w, arg);
	rng_init(&rng, words_get_u32(&w, 0));
	for (uint32_t i = 0; i < words_get_u32(&w, 1); i++) {
		uint8_t buf[FLOW_WIRE_MAX];
		size_t len;

		memset(&m, 0, sizeof(m));
		m.kind = (enum flow_msg_kind)(1 + rng_below(&rng, 8));
		m.from = rng_next(&rng) | 1;
		m.sequence = rng_next(&rng);
		if (m.kind == FLOW_MSG_FIND || m.kind == FLOW_MSG_FOUND) {
			m.u.find.count = FLOW_FIND_MAX;
			m.u.find.flows[9].flow.caller = rng_next(&rng);
		} else if (m.kind == FLOW_MSG_PEERS) {
			m.u.peers.count = FLOW_PEERS_MAX;
			m.u.peers.peers[9].id = rng_next(&rng);
		}
		len = flow_wire_encode(&m, buf, sizeof(buf));
		memset(&back, 0, sizeof(back));
		if (flow_wire_decode(
			(struct str){(char *)buf, len}, &arena, &back) &&
		    memcmp(&m.u, &back.u, 64) == 0 && m.from == back.from)
			intact_count++;
		buf[rng_below(&rng, len)] ^=
		    (uint8_t)(1 + rng_below(&rng, 255));
		flow_wire_decode(
		    (struct str){(char *)buf, rng_below(&rng, len + 1)}, &arena,
		    &back);
	}
	script_printf("  %u intact\n", intact_count);
}
