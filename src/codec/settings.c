#include "codec/settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#define DEFAULT_HINTS 262144
#define DEFAULT_BUDGET 9000
#define DEFAULT_GRACE_MS 3000
#define DEFAULT_FLOWS 65536
#define DEFAULT_WORD_PERIOD_MS 1000
#define DEFAULT_FLOW_LIFE_S 60
#define DEFAULT_PLATFORM_CALLS 10
#define DEFAULT_LOG_LINES 50
#define DEFAULT_CAPACITY 1000
#define FILE_MAX 65536

/** A file that is being checked. */
struct reader {
	const char *path;
	char *text;
	json_t *root;
	struct settings *out;
	struct status st;
};

/** One key: how it is read, and which uses must have it. */
struct key {
	const char *name;
	void (*read)(struct reader *r, const char *key, json_t *v);
	unsigned required; /**< bits of 1 << enum set_use */
};

#define FOR_BALANCER (1U << SET_BALANCER)
#define FOR_AGENT (1U << SET_AGENT)
#define FOR_OPERATOR (1U << SET_OPERATOR)
#define FOR_FLOW_BALANCER (1U << SET_FLOW_BALANCER)
#define FOR_FLOW_AGENT (1U << SET_FLOW_AGENT)
#define FOR_FLOWS (FOR_FLOW_BALANCER | FOR_FLOW_AGENT)

/* Keys stand at the top level alone and once, so a search finds the line. */
static unsigned
line_of(const struct reader *r, const char *key)
{
	char quoted[64];
	const char *at;
	unsigned line = 1;

	snprintf(quoted, sizeof(quoted), "\"%s\"", key);
	at = strstr(r->text, quoted);
	for (const char *p = r->text; at != NULL && p < at; p++) {
		if (*p == '\n')
			line++;
	}
	return line;
}

static void
fault(struct reader *r, const char *key, json_t *v, const char *expected)
{
	char *value = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);

	status_set(&r->st, STATUS_INVALID, "%s:%u: %s: %.60s: expected %s",
	    r->path, line_of(r, key), key, value == NULL ? "?" : value,
	    expected);
	free(value);
}

static bool
read_addr(json_t *v, struct addr *out)
{
	return json_is_string(v) &&
	       addr_parse(str_of(json_string_value(v)), out);
}

static void
read_endpoint(struct reader *r, const char *key, json_t *v, struct addr *out)
{
	if (!read_addr(v, out))
		fault(r, key, v, "\"IP:PORT\"");
}

static void
read_address(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->address);
}

static void
read_target(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->target);
}

static void
read_seeds(struct reader *r, const char *key, json_t *v)
{
	size_t i;
	json_t *item;

	if (!json_is_array(v) || json_array_size(v) == 0 ||
	    json_array_size(v) > SET_SEEDS_MAX) {
		fault(r, key, v, "a list of 1 to 8 \"IP:PORT\"");
		return;
	}
	json_array_foreach(v, i, item)
	{
		if (!read_addr(item, &r->out->seeds[i]))
			fault(r, key, item, "\"IP:PORT\"");
	}
	r->out->seed_count = json_array_size(v);
}

/* Seeds of flows may be none: the platform's store tells the others. */
static void
read_balancers(struct reader *r, const char *key, json_t *v)
{
	if (json_is_array(v) && json_array_size(v) == 0)
		return;
	read_seeds(r, key, v);
}

static void
read_packets(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->packets);
}

static void
read_target_packets(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->target_packets);
}

static void
read_target_words(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->target_words);
}

static void
read_readiness(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->readiness);
}

static void
read_metrics(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->metrics);
}

static void
read_text(struct reader *r, const char *key, json_t *v, char *out, size_t cap)
{
	if (!json_is_string(v) || json_string_length(v) == 0 ||
	    json_string_length(v) >= cap) {
		fault(r, key, v, "a text that is not empty nor too long");
		return;
	}
	str_copy(out, cap, str_of(json_string_value(v)));
}

static void
read_domain(struct reader *r, const char *key, json_t *v)
{
	read_text(r, key, v, r->out->domain, sizeof(r->out->domain));
}

static void
read_service(struct reader *r, const char *key, json_t *v)
{
	read_text(r, key, v, r->out->service, sizeof(r->out->service));
}

static void
read_key_file(struct reader *r, const char *key, json_t *v)
{
	read_text(r, key, v, r->out->key_file, sizeof(r->out->key_file));
}

static void
read_platform(struct reader *r, const char *key, json_t *v)
{
	read_text(r, key, v, r->out->platform, sizeof(r->out->platform));
	if (strncmp(r->out->platform, "http://", 7) != 0 &&
	    strncmp(r->out->platform, "https://", 8) != 0)
		fault(r, key, v, "a URL, http:// or https://");
}

static void
read_log_level(struct reader *r, const char *key, json_t *v)
{
	static const struct {
		const char *name;
		int level;
	} levels[] = {{"error", LOG_ERR}, {"warning", LOG_WARNING},
	    {"notice", LOG_NOTICE}, {"debug", LOG_DEBUG}};

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (json_is_string(v) &&
		    strcmp(json_string_value(v), levels[i].name) == 0) {
			r->out->log_level = levels[i].level;
			return;
		}
	}
	fault(r, key, v, "error, warning, notice or debug");
}

static void
read_callers_ip(struct reader *r, const char *key, json_t *v)
{
	char text[ADDR_TEXT_MAX];
	struct addr a = {0};

	if (json_is_string(v) && json_string_length(v) < 16) {
		snprintf(text, sizeof(text), "%s:1", json_string_value(v));
		if (addr_parse(str_of(text), &a)) {
			r->out->callers_ip = a.ip;
			return;
		}
	}
	fault(r, key, v, "an IP address");
}

static uint32_t
read_number(struct reader *r, const char *key, json_t *v, json_int_t min,
    json_int_t max)
{
	char expected[64];

	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max)
		return (uint32_t)json_integer_value(v);
	snprintf(expected, sizeof(expected), "a number %lld to %lld",
	    (long long)min, (long long)max);
	fault(r, key, v, expected);
	return 0;
}

static void
read_health_port(struct reader *r, const char *key, json_t *v)
{
	r->out->health_port = (uint16_t)read_number(r, key, v, 1, UINT16_MAX);
}

static void
read_hints(struct reader *r, const char *key, json_t *v)
{
	r->out->hint_capacity = read_number(r, key, v, 1024, 4194304);
}

static void
read_budget(struct reader *r, const char *key, json_t *v)
{
	r->out->control_budget = read_number(r, key, v, 1000, 1000000);
}

static void
read_grace(struct reader *r, const char *key, json_t *v)
{
	r->out->grace_ms = read_number(r, key, v, 0, 60000);
}

static void
read_flows(struct reader *r, const char *key, json_t *v)
{
	r->out->flow_capacity = read_number(r, key, v, 16, 1000000);
}

static void
read_name(struct reader *r, const char *key, json_t *v)
{
	read_text(r, key, v, r->out->name, sizeof(r->out->name));
}

static void
read_word_period(struct reader *r, const char *key, json_t *v)
{
	r->out->word_period_ms = read_number(r, key, v, 100, 60000);
}

static void
read_flow_life(struct reader *r, const char *key, json_t *v)
{
	r->out->flow_life_s = read_number(r, key, v, 1, 86400);
}

static void
read_platform_calls(struct reader *r, const char *key, json_t *v)
{
	r->out->platform_calls = read_number(r, key, v, 1, 1000);
}

static void
read_cores(struct reader *r, const char *key, json_t *v)
{
	double cores = json_number_value(v);

	if (!json_is_number(v) || cores < 0.001 || cores > 1024)
		fault(r, key, v, "a number 0.001 to 1024");
	else
		r->out->capacity = (uint32_t)(cores * 1000);
}

static void
read_log_lines(struct reader *r, const char *key, json_t *v)
{
	r->out->log_lines = read_number(r, key, v, 1, 100000);
}

static void
read_copies(struct reader *r, const char *key, json_t *v)
{
	if (!json_is_boolean(v))
		fault(r, key, v, "true or false");
	else
		r->out->keep_copies = json_is_true(v);
}

static const struct key keys[] = {
    {"address", read_address, FOR_BALANCER | FOR_AGENT | FOR_FLOWS},
    {"domain", read_domain, FOR_BALANCER | FOR_AGENT | FOR_FLOWS},
    {"seeds", read_seeds, FOR_BALANCER | FOR_AGENT | FOR_OPERATOR},
    {"balancers", read_balancers, FOR_FLOWS},
    {"platform", read_platform, FOR_BALANCER | FOR_OPERATOR | FOR_FLOWS},
    {"key_file", read_key_file, FOR_BALANCER | FOR_AGENT | FOR_OPERATOR},
    {"log_level", read_log_level, 0},
    {"callers_ip", read_callers_ip, 0},
    {"health_port", read_health_port, 0},
    {"hint_capacity", read_hints, 0},
    {"control_budget", read_budget, 0},
    {"grace_ms", read_grace, 0},
    {"service", read_service, FOR_AGENT | FOR_FLOW_AGENT},
    {"target", read_target, FOR_AGENT | FOR_FLOW_AGENT},
    {"name", read_name, FOR_FLOWS},
    {"packets", read_packets, FOR_FLOWS},
    {"readiness", read_readiness, FOR_FLOWS},
    {"target_packets", read_target_packets, FOR_FLOW_AGENT},
    {"target_words", read_target_words, FOR_FLOW_AGENT},
    {"metrics", read_metrics, 0},
    {"word_period_ms", read_word_period, 0},
    {"flow_life_s", read_flow_life, 0},
    {"platform_calls", read_platform_calls, 0},
    {"log_lines", read_log_lines, 0},
    {"cores", read_cores, 0},
    {"flow_capacity", read_flows, 0},
    {"keep_copies", read_copies, 0},
};

static const struct key *
find_key(const char *name)
{
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		if (strcmp(keys[i].name, name) == 0)
			return &keys[i];
	}
	return NULL;
}

static void
read_keys(struct reader *r, enum set_use use)
{
	const char *name;
	json_t *v;

	json_object_foreach(r->root, name, v)
	{
		const struct key *k = find_key(name);

		if (k == NULL)
			fault(r, name, v, "a known key; see the manual page");
		else
			k->read(r, name, v);
	}
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		if ((keys[i].required & (1U << use)) == 0)
			continue;
		if (json_object_get(r->root, keys[i].name) == NULL)
			status_set(&r->st, STATUS_INVALID,
			    "%s:1: %s: missing: expected this key", r->path,
			    keys[i].name);
	}
}

static char *
read_file(const char *path)
{
	FILE *f = fopen(path, "re");
	char *text;
	size_t n;

	if (f == NULL)
		return NULL;
	text = mem_new(FILE_MAX + 1);
	n = fread(text, 1, FILE_MAX, f);
	text[n] = '\0';
	fclose(f);
	return text;
}

struct status
set_load(struct settings *s, const char *path, enum set_use use)
{
	struct reader r = {.path = path, .out = s};
	json_error_t err;

	*s = (struct settings){
	    .log_level = LOG_NOTICE,
	    .hint_capacity = DEFAULT_HINTS,
	    .control_budget = DEFAULT_BUDGET,
	    .grace_ms = DEFAULT_GRACE_MS,
	    .flow_capacity = DEFAULT_FLOWS,
	    .keep_copies = true,
	    .word_period_ms = DEFAULT_WORD_PERIOD_MS,
	    .flow_life_s = DEFAULT_FLOW_LIFE_S,
	    .platform_calls = DEFAULT_PLATFORM_CALLS,
	    .log_lines = DEFAULT_LOG_LINES,
	    .capacity = DEFAULT_CAPACITY,
	};
	r.text = read_file(path);
	if (r.text == NULL) {
		status_set(&r.st, STATUS_INVALID, "%s: cannot be read", path);
		return r.st;
	}
	r.root = json_loads(r.text, JSON_REJECT_DUPLICATES, &err);
	if (!json_is_object(r.root))
		status_set(&r.st, STATUS_INVALID, "%s:%d:%d: %s", path,
		    r.root == NULL ? err.line : 1,
		    r.root == NULL ? err.column : 1,
		    r.root == NULL ? err.text : "expected a JSON object");
	else
		read_keys(&r, use);
	json_decref(r.root);
	free(r.text);
	return r.st;
}
