#include "command/operator.h"

#include "base/counters.h"
#include "base/rng.h"
#include "command/store.h"
#include "task/rpc.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>

/** Maximum number of requests to the platform for one submission. */
#define REQUESTS_MAX 12
#define RPC_TIMEOUT_MS 2000

static char *
read_text(const char *path, size_t *len)
{
	FILE *f = fopen(path, "re");
	char *text = NULL;
	size_t cap = 0;
	size_t n;

	*len = 0;
	if (f == NULL) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return NULL;
	}
	do {
		cap += 65536;
		text = mem_grow(text, cap, 1);
		n = fread(text + *len, 1, cap - *len, f);
		*len += n;
	} while (*len == cap && cap <= CFG_TEXT_MAX + 65536);
	fclose(f);
	return text;
}

static int
exit_code(enum status_code code)
{
	switch (code) {
	case STATUS_OK:
		return EX_OK;
	case STATUS_INVALID:
		return EX_DATAERR;
	case STATUS_CONFLICT:
		return EX_CANTCREAT;
	case STATUS_UNAVAILABLE:
		return EX_UNAVAILABLE;
	case STATUS_UNKNOWN:
		return EX_TEMPFAIL;
	case STATUS_DENIED:
		return EX_NOPERM;
	}
	return EX_SOFTWARE;
}

/* Returns the number of the first line that cannot be stored, 0 for none. */
static unsigned
find_invalid_line(struct str text)
{
	unsigned line = 0;

	while (text.len > 0) {
		const char *end = memchr(text.p, '\n', text.len);
		size_t len =
		    end == NULL ? text.len : (size_t)(end + 1 - text.p);

		line++;
		if (!str_is_text((struct str){text.p, len}))
			return line;
		text.p += len;
		text.len -= len;
	}
	return 0;
}

/* Parses a file and prints the error, if any. Sets *out in every case. */
static int
parse_file(const char *path, struct cfg *out)
{
	size_t len;
	char *text = read_text(path, &len);
	struct status st = {0};
	unsigned invalid;

	*out = (struct cfg){0};
	if (text == NULL)
		return EX_NOINPUT;
	invalid = find_invalid_line((struct str){text, len});
	if (invalid != 0)
		status_set(&st, STATUS_INVALID,
		    "%s:%u: expected UTF-8 without NUL", path, invalid);
	else
		st = cfg_parse((struct str){text, len}, path, out);
	free(text);
	if (st.code != STATUS_OK)
		fprintf(stderr, "%s\n", st.message);
	return exit_code(st.code);
}

int
op_check(const char *path)
{
	struct cfg c;
	int rc = parse_file(path, &c);

	if (rc == EX_OK)
		printf("%s: %zu services, no fault\n", path, c.count);
	cfg_clear(&c);
	return rc;
}

static struct status
load_keys(const struct settings *set, struct keyring *keys)
{
	return key_load(keys, set->key_file);
}

static size_t
push_config(const struct settings *set, const struct keyring *keys,
    const struct cfg *c, uint64_t version)
{
	struct call call = {.kind = CALL_CONFIG_PUSH,
	    .version = version,
	    .text = {c->text, c->text_len}};
	size_t notified = 0;

	for (size_t i = 0; i < set->seed_count; i++) {
		struct call_reply r;
		struct status st =
		    rpc_wait(keys, set->seeds[i], &call, RPC_TIMEOUT_MS, &r);

		if (st.code == STATUS_OK && r.ok)
			notified++;
		free((void *)(uintptr_t)r.text.p);
		free((void *)(uintptr_t)r.error.p);
	}
	return notified;
}

static enum sub_action
read_object(
    const struct settings *set, struct submission *s, struct cfg *theirs)
{
	struct sub_object obj;
	char etag[SUB_ID_MAX];
	enum sub_result r = store_read(set, &obj, etag);
	enum sub_action next = sub_on_read(s, r, &obj, etag);

	if (r != SUB_OK)
		return next;
	if (s->outcome.code == STATUS_CONFLICT)
		cfg_parse(obj.text, "winner", theirs);
	free((void *)(uintptr_t)obj.text.p);
	return next;
}

static void
run_submission(const struct settings *set, struct submission *s,
    const struct cfg *mine, struct cfg *theirs)
{
	struct str text = {mine->text, mine->text_len};
	struct sub_object obj;
	char id[SUB_ID_MAX];
	enum sub_action next;

	snprintf(
	    id, sizeof(id), "%016llx", (unsigned long long)rng_system_seed());
	next = sub_start(s, id, REQUESTS_MAX);
	while (next != SUB_DONE) {
		switch (next) {
		case SUB_READ:
			next = read_object(set, s, theirs);
			break;
		case SUB_WRITE:
			sub_fill_object(s, text, &obj);
			next = sub_on_write(s, store_write(set, &obj, s->etag));
			break;
		case SUB_WAIT:
			usleep(sub_backoff_ms(s) * 1000);
			next = sub_on_wait(s);
			break;
		case SUB_DONE:
			break;
		}
	}
}

static void
print_submission(const struct submission *s, const struct cfg *mine,
    const struct cfg *theirs, size_t notified, bool json)
{
	static const char *const results[] = {"accepted", "refused", "refused",
	    "not-submitted", "unknown", "refused"};
	const char *result = results[s->outcome.code];
	char differs[512] = "";

	if (theirs->count > 0)
		cfg_list_differences(mine, theirs, differs, sizeof(differs));
	if (json) {
		json_t *j = json_pack("{s:s, s:I, s:s, s:s, s:s, s:I}",
		    "result", result, "version", (json_int_t)s->version,
		    "submission", s->id, "message", s->outcome.message,
		    "differs", differs, "told", (json_int_t)notified);

		json_dumpf(j, stdout, JSON_COMPACT);
		putchar('\n');
		json_decref(j);
		return;
	}
	if (s->outcome.code == STATUS_OK)
		printf("accepted: version %llu, %zu nodes told\n",
		    (unsigned long long)s->version, notified);
	else
		printf("%s\n", s->outcome.message);
	if (differs[0] != '\0')
		printf("theirs differs from yours in: %s\n", differs);
}

int
op_submit(const struct settings *set, const char *path, bool json)
{
	struct submission s;
	struct keyring keys;
	struct status st = load_keys(set, &keys);
	struct cfg mine;
	struct cfg theirs = {0};
	size_t notified = 0;
	int rc;

	if (st.code != STATUS_OK) {
		fprintf(stderr, "%s\n", st.message);
		return EX_CONFIG;
	}
	rc = parse_file(path, &mine);
	if (rc != EX_OK)
		return rc;
	run_submission(set, &s, &mine, &theirs);
	if (s.outcome.code == STATUS_OK)
		notified = push_config(set, &keys, &mine, s.version);
	print_submission(&s, &mine, &theirs, notified, json);
	rc = exit_code(s.outcome.code);
	cfg_clear(&mine);
	cfg_clear(&theirs);
	return rc;
}

/* Calls the seeds in turn until one replies. */
static struct status
call_any_seed(
    const struct settings *set, const struct call *call, struct call_reply *r)
{
	struct keyring keys;
	struct status st = load_keys(set, &keys);

	for (size_t i = 0; st.code == STATUS_OK && i < set->seed_count; i++) {
		struct status call_status =
		    rpc_wait(&keys, set->seeds[i], call, RPC_TIMEOUT_MS, r);

		if (call_status.code == STATUS_OK)
			return call_status;
		fprintf(stderr, "%s\n", call_status.message);
	}
	if (st.code == STATUS_OK)
		status_set(&st, STATUS_UNAVAILABLE, "no seed replied");
	return st;
}

static void
free_reply(struct call_reply *r)
{
	free((void *)(uintptr_t)r->text.p);
	free((void *)(uintptr_t)r->error.p);
}

int
op_show(const struct settings *set, bool json)
{
	struct call call = {.kind = CALL_CONFIG_GET};
	struct call_reply r = {0};
	struct status st = call_any_seed(set, &call, &r);

	if (st.code != STATUS_OK) {
		fprintf(stderr, "%s\n", st.message);
		return exit_code(st.code);
	}
	if (json) {
		json_t *j = json_pack("{s:I, s:s%}", "version",
		    (json_int_t)r.version, "text", r.text.p, r.text.len);

		if (j == NULL) {
			fprintf(stderr, "the text in force is not UTF-8\n");
			free_reply(&r);
			return EX_DATAERR;
		}
		json_dumpf(j, stdout, JSON_COMPACT);
		putchar('\n');
		json_decref(j);
	} else {
		printf("# version %llu\n%.*s", (unsigned long long)r.version,
		    (int)r.text.len, r.text.p);
	}
	free_reply(&r);
	return EX_OK;
}

/* ---- status ---- */

/** Maximum number of failure domains shown. Members of any further domain are
 * counted in the last one. */
#define DOMAINS_MAX 64

/** Versions in one failure domain. */
struct domain {
	char name[MBR_DOMAIN_MAX];
	uint64_t lowest;     /**< version in force at every reported process */
	uint64_t highest;    /**< highest reported version */
	unsigned node_count; /**< processes with a reported version */
};

static const char *
get_string(json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s == NULL ? "" : s;
}

static struct domain *
find_or_add_domain(struct domain *list, size_t *count, const char *name)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(list[i].name, name) == 0)
			return &list[i];
	}
	if (*count == DOMAINS_MAX)
		return &list[DOMAINS_MAX - 1];
	list[*count] = (struct domain){.lowest = UINT64_MAX};
	str_copy(list[*count].name, MBR_DOMAIN_MAX, str_of(name));
	return &list[(*count)++];
}

static void
count_member(struct domain *list, size_t *count, json_t *m)
{
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(m, "version"));
	struct domain *d;

	if (strcmp(get_string(m, "health"), "dead") == 0 ||
	    strcmp(get_string(m, "phase"), "left") == 0)
		return;
	d = find_or_add_domain(list, count, get_string(m, "domain"));
	if (!json_is_true(json_object_get(m, "watched")))
		return;
	d->node_count++;
	if (version < d->lowest)
		d->lowest = version;
	if (version > d->highest)
		d->highest = version;
}

static json_t *
get_balancer_status(const struct keyring *keys, struct addr to)
{
	struct call call = {.kind = CALL_STATUS};
	struct call_reply r;
	struct status st = rpc_wait(keys, to, &call, RPC_TIMEOUT_MS, &r);
	json_t *j = NULL;

	if (st.code == STATUS_OK && r.ok)
		j = json_loadb(r.text.p, r.text.len, 0, NULL);
	free_reply(&r);
	return j;
}

/* Each live balancer reports its own version and those of the members that it
 * monitors. */
static void
collect_versions(const struct keyring *keys, json_t *first, struct domain *list,
    size_t *count)
{
	json_t *m;
	size_t i;

	json_array_foreach(json_object_get(first, "members"), i, m)
	{
		struct addr to;
		json_t *j;
		json_t *own;
		size_t k;

		if (strcmp(get_string(m, "role"), "balancer") != 0 ||
		    strcmp(get_string(m, "health"), "ok") != 0 ||
		    strcmp(get_string(m, "phase"), "left") == 0)
			continue;
		if (!addr_parse(str_of(get_string(m, "address")), &to))
			continue;
		j = get_balancer_status(keys, to);
		json_array_foreach(json_object_get(j, "members"), k, own)
		{
			count_member(list, count, own);
		}
		json_decref(j);
	}
}

static void
print_status(json_t *first, const struct domain *list, size_t count)
{
	json_t *m;
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i].node_count == 0)
			printf("domain %s version unknown\n", list[i].name);
		else if (list[i].lowest == list[i].highest)
			printf("domain %s version %llu in force\n",
			    list[i].name, (unsigned long long)list[i].lowest);
		else
			printf("domain %s version %llu in force, %llu on its "
			       "way\n",
			    list[i].name, (unsigned long long)list[i].lowest,
			    (unsigned long long)list[i].highest);
	}
	json_array_foreach(json_object_get(first, "members"), i, m)
	{
		const char *service = get_string(m, "service");

		printf("%s %s %s%s%s %s %s\n", get_string(m, "role"),
		    get_string(m, "domain"), service,
		    service[0] == '\0' ? "" : " ", get_string(m, "address"),
		    get_string(m, "phase"), get_string(m, "health"));
	}
}

static json_t *
domains_json(const struct domain *list, size_t count)
{
	json_t *j = json_array();

	for (size_t i = 0; i < count; i++) {
		bool has_version = list[i].node_count > 0;

		json_array_append_new(
		    j, json_pack("{s:s, s:I, s:I, s:I}", "domain", list[i].name,
			   "version",
			   (json_int_t)(has_version ? list[i].lowest : 0),
			   "newest", (json_int_t)list[i].highest, "nodes",
			   (json_int_t)list[i].node_count));
	}
	return j;
}

int
op_status(const struct settings *set, bool json)
{
	struct domain list[DOMAINS_MAX];
	size_t count = 0;
	struct keyring keys;
	struct status st = load_keys(set, &keys);
	json_t *first = NULL;

	if (st.code != STATUS_OK) {
		fprintf(stderr, "%s\n", st.message);
		return EX_CONFIG;
	}
	for (size_t i = 0; first == NULL && i < set->seed_count; i++)
		first = get_balancer_status(&keys, set->seeds[i]);
	if (first == NULL) {
		fprintf(stderr, "no seed replied\n");
		return EX_UNAVAILABLE;
	}
	collect_versions(&keys, first, list, &count);
	if (json) {
		json_object_set_new(
		    first, "domains", domains_json(list, count));
		json_dumpf(first, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		print_status(first, list, count);
	}
	json_decref(first);
	return EX_OK;
}

int
op_counters(const struct settings *set, const char *address, bool json)
{
	struct call call = {.kind = CALL_COUNTERS};
	struct call_reply r = {0};
	struct keyring keys;
	struct status st = load_keys(set, &keys);
	struct addr to;
	json_t *j;
	json_t *v;

	if (!addr_parse(str_of(address), &to)) {
		fprintf(stderr, "%s: expected IP:PORT\n", address);
		return EX_USAGE;
	}
	if (st.code == STATUS_OK)
		st = rpc_wait(&keys, to, &call, RPC_TIMEOUT_MS, &r);
	if (st.code != STATUS_OK) {
		fprintf(stderr, "%s\n", st.message);
		return exit_code(st.code);
	}
	if (json) {
		printf("%.*s\n", (int)r.text.len, r.text.p);
	} else {
		j = json_loadb(r.text.p, r.text.len, 0, NULL);
		if (!json_is_object(j)) {
			fprintf(stderr, "%s: malformed reply\n", address);
			json_decref(j);
			free_reply(&r);
			return EX_PROTOCOL;
		}
		for (int i = 0; i < CTR_COUNT; i++) {
			v = json_object_get(j, ctr_name((enum counter)i));
			printf("%-26s %10lld  %s\n", ctr_name((enum counter)i),
			    (long long)json_integer_value(v),
			    ctr_help((enum counter)i));
		}
		json_decref(j);
	}
	free_reply(&r);
	return EX_OK;
}
