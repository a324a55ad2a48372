#include "codec/settings.h"

#include "flow/domain_share.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#define DEFAULT_HINT_CAPACITY 262144
#define DEFAULT_CONTROL_BUDGET_BYTES_PER_S 9000
#define DEFAULT_GRACE_MS 3000
#define DEFAULT_FLOW_CAPACITY 65536
#define DEFAULT_WORD_PERIOD_MS 1000
#define DEFAULT_FLOW_LIFE_MS 60000
/** Bounds that are in force without a value: the shortest of the users', and no
 * excess. */
#define DEFAULT_EVACUATION_MS 5000
#define DEFAULT_COLD_OVERAGE 1
#define DEFAULT_PLATFORM_CALLS_PER_S 10
#define DEFAULT_LOG_LINES_PER_S 50
#define DEFAULT_CAPACITY_MILLICORES 1000
#define SETTINGS_FILE_MAX 65536

/** State of reading one settings file. */
struct reader {
	const char *path;
	char *text;
	json_t *root;
	struct settings *out;
	struct status st; /**< all errors found, one on a line */
};

/** A key, the function that reads its value, and the uses that require it. */
struct key {
	const char *name;
	void (*read)(struct reader *r, const char *key, json_t *v);
	unsigned required; /**< mask of 1 << enum settings_use */
};

#define FOR_BALANCER (1U << SETTINGS_BALANCER)
#define FOR_AGENT (1U << SETTINGS_AGENT)
#define FOR_OPERATOR (1U << SETTINGS_OPERATOR)
#define FOR_FLOW_BALANCER (1U << SETTINGS_FLOW_BALANCER)
#define FOR_FLOW_AGENT (1U << SETTINGS_FLOW_AGENT)
#define FOR_FLOWS (FOR_FLOW_BALANCER | FOR_FLOW_AGENT)

/* Finds the line of a key. Keys are only at the top level and unique, so the
 * first match is the right one. */
static unsigned
find_line(const struct reader *r, const char *key)
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
report_invalid(
    struct reader *r, const char *key, json_t *v, const char *expected)
{
	char *value = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);

	status_set(&r->st, STATUS_INVALID, "%s:%u: %s: %.60s: expected %s",
	    r->path, find_line(r, key), key, value == NULL ? "?" : value,
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
		report_invalid(r, key, v, "\"IP:PORT\"");
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
	    json_array_size(v) > SETTINGS_SEEDS_MAX) {
		report_invalid(r, key, v, "a list of 1 to 8 \"IP:PORT\"");
		return;
	}
	json_array_foreach(v, i, item)
	{
		if (!read_addr(item, &r->out->seeds[i]))
			report_invalid(r, key, item, "\"IP:PORT\"");
	}
	r->out->seed_count = json_array_size(v);
}

/* The list may be empty here: the platform's store lists the balancers. */
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
read_target_heartbeats(struct reader *r, const char *key, json_t *v)
{
	read_endpoint(r, key, v, &r->out->target_heartbeats);
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
read_string(struct reader *r, const char *key, json_t *v, char *out, size_t cap)
{
	if (!json_is_string(v) || json_string_length(v) == 0 ||
	    json_string_length(v) >= cap) {
		report_invalid(
		    r, key, v, "a non-empty string that is not too long");
		return;
	}
	str_copy(out, cap, str_of(json_string_value(v)));
}

static void
read_domain(struct reader *r, const char *key, json_t *v)
{
	read_string(r, key, v, r->out->domain, sizeof(r->out->domain));
}

static void
read_service(struct reader *r, const char *key, json_t *v)
{
	read_string(r, key, v, r->out->service, sizeof(r->out->service));
}

static void
read_key_file(struct reader *r, const char *key, json_t *v)
{
	read_string(r, key, v, r->out->key_file, sizeof(r->out->key_file));
}

static void
read_platform(struct reader *r, const char *key, json_t *v)
{
	const char *host = r->out->platform + strlen("http://");
	struct addr server;

	read_string(r, key, v, r->out->platform, sizeof(r->out->platform));
	if (strncmp(r->out->platform, "https://", strlen("https://")) == 0)
		return;
	if (strncmp(r->out->platform, "http://", strlen("http://")) == 0 &&
	    addr_parse((struct str){host, strcspn(host, "/")}, &server))
		return;
	report_invalid(r, key, v, "a URL, http://IP:PORT or https://");
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
	report_invalid(r, key, v, "error, warning, notice or debug");
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
	report_invalid(r, key, v, "an IP address");
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
	report_invalid(r, key, v, expected);
	return 0;
}

static void
read_health_port(struct reader *r, const char *key, json_t *v)
{
	r->out->health_port = (uint16_t)read_number(r, key, v, 1, UINT16_MAX);
}

static void
read_hint_capacity(struct reader *r, const char *key, json_t *v)
{
	r->out->hint_capacity = read_number(r, key, v, 1024, 4194304);
}

static void
read_control_budget(struct reader *r, const char *key, json_t *v)
{
	r->out->control_budget = read_number(r, key, v, 1000, 1000000);
}

static void
read_grace(struct reader *r, const char *key, json_t *v)
{
	r->out->grace_ms = read_number(r, key, v, 0, 60000);
}

static void
read_flow_capacity(struct reader *r, const char *key, json_t *v)
{
	r->out->flow_capacity = read_number(r, key, v, 16, 1000000);
}

static void
read_name(struct reader *r, const char *key, json_t *v)
{
	read_string(r, key, v, r->out->name, sizeof(r->out->name));
}

/** Least and greatest value of a bound, and the one of a bound that is in force
 * without a value. */
struct bound_range {
	double min;
	double max;
	double unstated;
};

/*
 * Read a bound that the platform states: a whole number, a fraction, or true or
 * false for whether it is in force. A number beyond the range counts as the
 * nearest one in it: it must not keep a process from starting.
 * Returns whether the bound is in force.
 */
static bool
read_bound(struct reader *r, const char *key, json_t *v,
    const struct bound_range *range, double *out)
{
	double value = json_number_value(v);

	if (json_is_boolean(v)) {
		*out = range->unstated;
		return json_is_true(v);
	}
	if (!json_is_number(v) || value < 0) {
		report_invalid(r, key, v, "a number from 0, true or false");
		return false;
	}
	*out = value < range->min   ? range->min
	       : value > range->max ? range->max
				    : value;
	return true;
}

static void
read_word_period(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {
	    100, 60000, DEFAULT_WORD_PERIOD_MS};
	double ms;

	if (read_bound(r, key, v, &range, &ms))
		r->out->word_period_ms = (uint32_t)(ms + 0.5);
}

static void
read_flow_life(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {
	    1, 86400, DEFAULT_FLOW_LIFE_MS / 1000.0};
	double s;

	/* Rounded up: no flow is removed before its time. */
	if (read_bound(r, key, v, &range, &s))
		r->out->flow_life_ms = (uint64_t)ceil(s * 1000);
}

static void
read_platform_calls(struct reader *r, const char *key, json_t *v)
{
	r->out->platform_calls_per_s = read_number(r, key, v, 1, 1000);
}

static void
read_cores(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {
	    0.001, 1024, DEFAULT_CAPACITY_MILLICORES / 1000.0};
	double cores;

	if (read_bound(r, key, v, &range, &cores))
		r->out->capacity = (uint32_t)(cores * 1000);
}

static void
read_log_lines(struct reader *r, const char *key, json_t *v)
{
	r->out->log_lines_per_s = read_number(r, key, v, 1, 100000);
}

static void
read_evacuation(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {
	    1, 600000, DEFAULT_EVACUATION_MS};
	double ms;

	if (read_bound(r, key, v, &range, &ms))
		r->out->evacuation_ms = (uint32_t)ms;
}

static void
read_cold_overage(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {
	    0.001, 1000, DEFAULT_COLD_OVERAGE};
	double factor;

	if (read_bound(r, key, v, &range, &factor))
		r->out->cold_overage_milli = (uint32_t)(factor * 1000 + 0.5);
}

static void
read_cold_slack(struct reader *r, const char *key, json_t *v)
{
	static const struct bound_range range = {0, 1000, 0};
	double slack = 0;

	r->out->has_cold_slack = read_bound(r, key, v, &range, &slack);
	r->out->cold_slack = (uint32_t)slack;
}

static void
read_remote_byte_price(struct reader *r, const char *key, json_t *v)
{
	r->out->remote_byte_price = read_number(r, key, v, 0, 1000000);
}

static void
read_keep_copies(struct reader *r, const char *key, json_t *v)
{
	if (!json_is_boolean(v))
		report_invalid(r, key, v, "true or false");
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
    {"hint_capacity", read_hint_capacity, 0},
    {"control_budget", read_control_budget, 0},
    {"grace_ms", read_grace, 0},
    {"service", read_service, FOR_AGENT | FOR_FLOW_AGENT},
    {"target", read_target, FOR_AGENT | FOR_FLOW_AGENT},
    {"name", read_name, FOR_FLOWS},
    {"packets", read_packets, FOR_FLOWS},
    {"readiness", read_readiness, FOR_FLOWS},
    {"target_packets", read_target_packets, FOR_FLOW_AGENT},
    {"target_words", read_target_heartbeats, FOR_FLOW_AGENT},
    {"metrics", read_metrics, 0},
    {"word_period_ms", read_word_period, 0},
    {"flow_life_s", read_flow_life, 0},
    {"platform_calls", read_platform_calls, 0},
    {"log_lines", read_log_lines, 0},
    {"cores", read_cores, 0},
    {"flow_capacity", read_flow_capacity, 0},
    {"keep_copies", read_keep_copies, 0},
    {"evacuation_ms", read_evacuation, 0},
    {"cold_overage", read_cold_overage, 0},
    {"cold_slack", read_cold_slack, 0},
    {"remote_byte_price", read_remote_byte_price, 0},
};

/* The names of the own protocol are shorter than those of opaque flows. */
static void
check_length(struct reader *r, const char *key, size_t cap)
{
	json_t *v = json_object_get(r->root, key);

	if (json_string_length(v) >= cap)
		report_invalid(
		    r, key, v, "a non-empty string that is not too long");
}

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
read_keys(struct reader *r, enum settings_use use)
{
	const char *name;
	json_t *v;

	json_object_foreach(r->root, name, v)
	{
		const struct key *k = find_key(name);

		if (k == NULL)
			report_invalid(
			    r, name, v, "a known key; see the manual page");
		else
			k->read(r, name, v);
	}
	if (((1U << use) & FOR_FLOWS) == 0) {
		check_length(r, "domain", MBR_DOMAIN_MAX);
		check_length(r, "service", CFG_NAME_MAX);
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

/* Reads one byte more than a file may have, at most. */
static char *
read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "re");
	char *text;

	if (f == NULL)
		return NULL;
	text = mem_new(SETTINGS_FILE_MAX + 2);
	*len = fread(text, 1, SETTINGS_FILE_MAX + 1, f);
	fclose(f);
	return text;
}

bool
settings_limit_cold(const struct settings *s)
{
	return s->cold_overage_milli != 0 && s->has_cold_slack;
}

struct status
settings_load(struct settings *s, const char *path, enum settings_use use)
{
	struct reader r = {.path = path, .out = s};
	json_error_t err;
	size_t len;

	*s = (struct settings){
	    .log_level = LOG_NOTICE,
	    .hint_capacity = DEFAULT_HINT_CAPACITY,
	    .control_budget = DEFAULT_CONTROL_BUDGET_BYTES_PER_S,
	    .grace_ms = DEFAULT_GRACE_MS,
	    .flow_capacity = DEFAULT_FLOW_CAPACITY,
	    .keep_copies = true,
	    .word_period_ms = DEFAULT_WORD_PERIOD_MS,
	    .flow_life_ms = DEFAULT_FLOW_LIFE_MS,
	    .platform_calls_per_s = DEFAULT_PLATFORM_CALLS_PER_S,
	    .log_lines_per_s = DEFAULT_LOG_LINES_PER_S,
	    .capacity = DEFAULT_CAPACITY_MILLICORES,
	    .remote_byte_price = DOMAIN_SHARE_BYTE_PRICE_US,
	};
	r.text = read_file(path, &len);
	if (r.text == NULL || len > SETTINGS_FILE_MAX) {
		status_set(&r.st, STATUS_INVALID, "%s: %s", path,
		    r.text == NULL ? "cannot be read"
				   : "expected at most 65536 bytes");
		free(r.text);
		return r.st;
	}
	r.root = json_loadb(r.text, len, JSON_REJECT_DUPLICATES, &err);
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
