/**
 * @file scripted.c
 * Runs the scripts that test the configuration text, settings, submissions,
 * permits, retry budgets, membership, deltas and the wire format. The table at
 * the end lists their commands.
 */
#include "runner.h"
#include "script.h"

#include "base/clock.h"
#include "codec/coap.h"
#include "codec/config_object.h"
#include "codec/settings.h"
#include "decide/delta.h"
#include "decide/hints.h"
#include "decide/load.h"
#include "decide/submission.h"
#include "request/budget.h"
#include "request/permit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <sodium.h>

/* ---- configuration text ---- */

/* text << TEXT: parses it, writes each service and parses that again */
static void
do_text(const char *arg, const char *body)
{
	struct cfg c;
	struct status st = cfg_parse(str_of(body), "text", &c);
	char written[2048];

	(void)arg;
	if (st.code != STATUS_OK) {
		script_printf("%s\n", st.message);
		return;
	}
	script_printf("%zu services\n", c.count);
	for (size_t i = 0; i < c.count; i++) {
		struct cfg_service one;
		size_t n =
		    cfg_write_service(&c.services[i], written, sizeof(written));

		assert_int_equal(
		    cfg_parse_service((struct str){written, n}, &one).code,
		    STATUS_OK);
		one.line = c.services[i].line;
		assert_memory_equal(&one, &c.services[i], sizeof(one));
	}
	cfg_clear(&c);
}

static struct cfg diff_base;

/* diff_base << TEXT: the old configuration of diff_with */
static void
do_diff_base(const char *arg, const char *body)
{
	(void)arg;
	cfg_clear(&diff_base);
	assert_int_equal(
	    cfg_parse(str_of(body), "text", &diff_base).code, STATUS_OK);
}

/* diff_with << TEXT: prints how it differs from diff_base */
static void
do_diff_with(const char *arg, const char *body)
{
	char text[256];
	struct cfg c;

	(void)arg;
	assert_int_equal(cfg_parse(str_of(body), "text", &c).code, STATUS_OK);
	cfg_list_differences(&diff_base, &c, text, sizeof(text));
	script_printf("%s\n", text);
	cfg_clear(&c);
	cfg_clear(&diff_base);
}

/* ---- settings ---- */

/*
 * settings operator|balancer|agent|bounds << JSON: loads a settings file; with
 * "bounds" for an agent of opaque flows, whose bounds are printed
 */
static void
do_settings(const char *arg, const char *body)
{
	char path[] = "/tmp/settings-XXXXXX";
	enum settings_use use = strcmp(arg, "balancer") == 0 ? SETTINGS_BALANCER
				: strcmp(arg, "agent") == 0  ? SETTINGS_AGENT
				: strcmp(arg, "bounds") == 0
				    ? SETTINGS_FLOW_AGENT
				    : SETTINGS_OPERATOR;
	struct settings set;
	struct status st;
	int fd = mkstemp(path);
	char *at;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, body, strlen(body)), (ssize_t)strlen(body));
	close(fd);
	st = settings_load(&set, path, use);
	unlink(path);
	while ((at = strstr(st.message, path)) != NULL)
		memmove(at, "FILE", 4), memmove(at + 4, at + strlen(path),
					    strlen(at + strlen(path)) + 1);
	script_printf("%s\n", st.code == STATUS_OK ? "good" : st.message);
	if (use == SETTINGS_FLOW_AGENT && st.code == STATUS_OK)
		script_printf("flows %llu ms, heartbeats %u ms, evacuations "
			      "%u ms, cold %s %u + %u, cores %u\n",
		    (unsigned long long)set.flow_life_ms, set.word_period_ms,
		    set.evacuation_ms,
		    settings_limit_cold(&set) ? "limited" : "not limited",
		    set.cold_overage_milli, set.cold_slack, set.capacity);
}

/* ---- submission ---- */

static struct submission sub;

static void
print_action(enum sub_action a)
{
	static const char *const names[] = {"read", "write", "wait", "done"};

	script_printf("%s", names[a]);
	if (a == SUB_DONE)
		script_printf(": code %d version %llu %s", sub.outcome.code,
		    (unsigned long long)sub.version, sub.outcome.message);
	script_printf("\n");
}

static enum sub_result
parse_result(const char *word)
{
	static const char *const names[] = {"ok", "missing", "conflict",
	    "limited", "rejected", "lost", "malformed"};

	for (int i = 0; i < 7; i++) {
		if (strncmp(word, names[i], strlen(names[i])) == 0)
			return (enum sub_result)i;
	}
	fail_msg("unknown result %s", word);
	return SUB_NO_ANSWER;
}

/* submit ID: starts a submission with this id */
static void
do_submit(const char *arg, const char *body)
{
	(void)body;
	print_action(sub_start(&sub, arg, 4));
}

/*
 * read RESULT [VERSION WRITER [PREVIOUS-WRITER]]: the result of reading the
 * object
 */
static void
do_read(const char *arg, const char *body)
{
	struct sub_object o = {0};
	char etag[SUB_ID_MAX] = "";
	char word[16];
	unsigned long long version = 0;
	char writer[SUB_ID_MAX] = "";
	char previous_writer[SUB_ID_MAX] = "";

	(void)body;
	sscanf(arg, "%15s %llu %39s %39s", word, &version, writer,
	    previous_writer);
	o.version = version;
	str_copy(o.submission, SUB_ID_MAX, str_of(writer));
	if (previous_writer[0] != '\0') {
		o.history[0].version = version - 1;
		str_copy(o.history[0].submission, SUB_ID_MAX,
		    str_of(previous_writer));
		o.history_count = 1;
	}
	snprintf(etag, sizeof(etag), "\"%llu\"", version);
	print_action(sub_on_read(&sub, parse_result(word), &o, etag));
}

/* write RESULT: the result of writing the object */
static void
do_write(const char *arg, const char *body)
{
	(void)body;
	print_action(sub_on_write(&sub, parse_result(arg)));
}

/* waited: the delay before the next attempt has passed */
static void
do_waited(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	print_action(sub_on_wait(&sub));
}

/* ---- permits ---- */

static struct permit_table *permits;
static struct rng permits_rng;
static uint8_t issued_permit[PERMIT_LEN];
static const struct flow_key flow = {42, 7};

/* permit_table INCARNATION: a new table of the same agent */
static void
do_permit_table(const char *arg, const char *body)
{
	(void)body;
	permit_table_free(permits);
	rng_init(&permits_rng, strtoull(arg, NULL, 10));
	permits = permit_table_new(1, strtoull(arg, NULL, 10), &permits_rng, 3);
}

static struct request
parse_request(const char *arg)
{
	struct request r = {
	    .kind = REQUEST_NON_IDEMPOTENT, .mid = (uint16_t)atoi(arg)};
	const char *payload = strchr(arg, ' ');

	if (payload != NULL)
		str_copy((char *)r.digest, DIGEST_LEN, str_of(payload + 1));
	return r;
}

/* issue MESSAGE-ID PAYLOAD: issues a permit for this request */
static void
do_issue(const char *arg, const char *body)
{
	struct request r = parse_request(arg);

	(void)body;
	if (!permit_issue(permits, &flow, &r, script_now_ns, issued_permit))
		script_printf("full\n");
	else
		script_printf("issued, %zu in table\n", permit_count(permits));
}

static struct permit_record *
verify_permit(const char *arg)
{
	static const char *const verdicts[] = {
	    "valid", "other issuer", "old incarnation", "forged", "no record"};
	static const char *const states[] = {
	    "issued", "in use", "answered", "outcome unknown", "revoked"};
	struct request r = parse_request(arg);
	struct permit_record *record = NULL;
	enum permit_verdict v;

	memcpy(r.permit, issued_permit, PERMIT_LEN);
	v = permit_verify(permits, &flow, &r, &record);
	script_printf("%s", verdicts[v]);
	if (record != NULL)
		script_printf(" %s%s", states[record->state],
		    script_now_ns >= record->expiry_ns ? " expired" : "");
	script_printf("\n");
	return record;
}

/* verify MESSAGE-ID PAYLOAD: verifies the permit issued last */
static void
do_verify(const char *arg, const char *body)
{
	(void)body;
	verify_permit(arg);
}

/* run MESSAGE-ID PAYLOAD: verifies the permit, then sends and answers it */
static void
do_run(const char *arg, const char *body)
{
	struct permit_record *record = verify_permit(arg);

	(void)body;
	record->state = PERMIT_IN_USE;
	permit_mark_sent(record);
	permit_set_answer(record, str_of("answer"));
}

/* refuse MESSAGE-ID PAYLOAD: an agent refuses a request without a permit */
static void
do_refuse(const char *arg, const char *body)
{
	struct request r = parse_request(arg);
	struct permit_record *record = permit_find(permits, &flow, &r);

	(void)body;
	if (record == NULL) {
		script_printf("no permit\n");
		return;
	}
	permit_revoke(record, "queue full");
	script_printf("revoked\n");
}

/* advance MS: advances the clock and drops expired permits */
static void
do_advance(const char *arg, const char *body)
{
	(void)body;
	script_now_ns += strtoull(arg, NULL, 10) * NS_PER_MS;
	if (permits != NULL)
		permit_drop_expired(permits, script_now_ns);
}

/* ---- retry budget ---- */

/* budget SUCCESSES PERCENT WANTED: prints how many retries are allowed */
static void
do_budget(const char *arg, const char *body)
{
	unsigned successes = 0;
	unsigned percent = 0;
	unsigned wanted = 0;
	unsigned got = 0;
	struct budget b;

	(void)body;
	sscanf(arg, "%u %u %u", &successes, &percent, &wanted);
	budget_init(&b);
	for (unsigned i = 0; i < successes; i++)
		budget_add_success(&b, percent);
	for (unsigned i = 0; i < wanted; i++)
		got += budget_take_retry(&b);
	script_printf("%u retries for %u successes\n", got, successes);
}

/* ---- membership ---- */

static struct mbr_table *members;
static struct counters ctr;

static struct member
parse_member(const char *arg)
{
	unsigned long long id = 0;
	unsigned long long incarnation = 0;
	unsigned seq = 0;
	char phase[12] = "active";
	char health[12] = "ok";
	struct member m = {.role = MBR_AGENT, .service = 7};

	sscanf(arg, "%llu %llu %u %11s %11s", &id, &incarnation, &seq, phase,
	    health);
	m.id = id;
	m.incarnation = incarnation;
	m.seq = seq;
	m.phase = strcmp(phase, "joining") == 0	  ? MBR_JOINING
		  : strcmp(phase, "leaving") == 0 ? MBR_LEAVING
		  : strcmp(phase, "left") == 0	  ? MBR_LEFT
						  : MBR_ACTIVE;
	m.health = strcmp(health, "dead") == 0	    ? MBR_DEAD
		   : strcmp(health, "suspect") == 0 ? MBR_SUSPECT
						    : MBR_OK;
	return m;
}

/* table MEMBER: a new table of this member; MEMBER as in merge */
static void
do_table(const char *arg, const char *body)
{
	struct member m = parse_member(arg);

	(void)body;
	mbr_free(members);
	ctr = (struct counters){0};
	members = mbr_new(&m, &ctr);
}

/*
 * merge ID INCARNATION SEQ [joining|active|leaving|left [ok|suspect|dead]]:
 * merges a received record
 */
static void
do_merge(const char *arg, const char *body)
{
	struct member m = parse_member(arg);

	(void)body;
	script_printf(
	    "%s", mbr_merge(members, &m, script_now_ns) ? "changed" : "same");
	if (m.id == mbr_self(members)->id)
		script_printf(", own seq %u", mbr_self(members)->seq);
	script_printf("\n");
}

/* watch ID: expects heartbeats of this member from now on */
static void
do_watch(const char *arg, const char *body)
{
	(void)body;
	mbr_watch(members, strtoull(arg, NULL, 10), script_now_ns);
}

/* tick MS ID: runs the ticks of this time and prints the member's health */
static void
do_tick(const char *arg, const char *body)
{
	static const char *const healths[] = {"ok", "suspect", "dead"};
	unsigned ms = 0;
	unsigned long long id = 0;
	struct mbr_entry *e;

	(void)body;
	sscanf(arg, "%u %llu", &ms, &id);
	for (unsigned i = 0; i < ms; i += 50) {
		script_now_ns += 50 * NS_PER_MS;
		mbr_tick(members, script_now_ns);
	}
	e = mbr_find(members, id);
	script_printf(
	    "%llu is %s\n", id, e == NULL ? "removed" : healths[e->m.health]);
}

/* home HASH [SKIP]: prints the home of a flow, leaving out one agent */
static void
do_home(const char *arg, const char *body)
{
	unsigned long long skip = 0;
	unsigned long long hash = 0;
	struct mbr_entry *e;

	(void)body;
	sscanf(arg, "%llu %llu", &hash, &skip);
	e = mbr_home(members, 7, hash, skip);
	script_printf(
	    "home %llu\n", e == NULL ? 0ULL : (unsigned long long)e->m.id);
}

/* ---- deltas ---- */

static char delta_from[256];

/* from TEXT: the base of the deltas that follow */
static void
do_from(const char *arg, const char *body)
{
	(void)body;
	str_copy(delta_from, sizeof(delta_from), str_of(arg));
}

/* to TEXT: makes the delta from the base, prints it and applies it */
static void
do_to(const char *arg, const char *body)
{
	struct delta d = delta_make(str_of(delta_from), str_of(arg));
	size_t len = 0;
	char *text = delta_apply(str_of(delta_from), &d, &len);

	(void)body;
	assert_non_null(text);
	script_printf("%u \"%.*s\" %u: %.*s\n", d.prefix, (int)d.middle.len,
	    d.middle.p, d.suffix, (int)len, text);
	assert_true(str_eq((struct str){text, len}, str_of(arg)));
	free(text);
	d.prefix = 1000;
	assert_null(delta_apply(str_of(delta_from), &d, &len));
}

/* ---- table of commands ---- */

static const struct script_command commands[] = {
    {"text", do_text},
    {"diff_base", do_diff_base},
    {"diff_with", do_diff_with},
    {"settings", do_settings},
    {"submit", do_submit},
    {"read", do_read},
    {"write", do_write},
    {"waited", do_waited},
    {"permit_table", do_permit_table},
    {"issue", do_issue},
    {"verify", do_verify},
    {"run", do_run},
    {"refuse", do_refuse},
    {"advance", do_advance},
    {"budget", do_budget},
    {"table", do_table},
    {"merge", do_merge},
    {"watch", do_watch},
    {"tick", do_tick},
    {"home", do_home},
    {"from", do_from},
    {"to", do_to},
    {"keys", do_keys},
    {"corrupt", do_corrupt},
    {"garbage", do_garbage},
    {"balancer", do_request_balancer},
    {"instance", do_instance},
    {"hint", do_hint},
    {"datagram", do_datagram},
};

int
main(void)
{
	static const char *const names[] = {"text", "settings", "submission",
	    "permit", "budget", "member", "delta", "wire", "request-hint"};

	if (sodium_init() < 0)
		return 1;
	coap_codec_init();
	return script_main(commands, sizeof(commands) / sizeof(commands[0]),
	    names, sizeof(names) / sizeof(names[0]));
}
