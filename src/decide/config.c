#include "decide/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_SLOTS 4
#define DEFAULT_CONNECTIONS 2000
#define DEFAULT_QUEUE 32
#define DEFAULT_DEADLINE_MS 8000
#define DEFAULT_LEAVE_MS 5000
#define DEFAULT_RETRY_PERCENT 10
/** Permits that were issued before a target leaves must expire while it is
 * leaving. */
#define MIN_LEAVE_MS 4000
#define MAX_DURATION_MS 600000

struct parser {
	const char *text_name;
	unsigned line;
	struct status st;
	unsigned faults;
	struct cfg_service *services;
	size_t count;
};

uint64_t
cfg_service_id(struct str name)
{
	uint64_t id = XXH3_64bits(name.p, name.len);

	return id == 0 ? 1 : id;
}

static void report_fault(
    struct parser *p, const char *key, struct str value, const char *expected);

static void
report_fault(
    struct parser *p, const char *key, struct str value, const char *expected)
{
	if (p->faults++ >= 6)
		return;
	status_set(&p->st, STATUS_INVALID, "%s:%u: %s: \"%.*s\": %s",
	    p->text_name, p->line, key, (int)(value.len < 60 ? value.len : 60),
	    value.p, expected);
}

static struct str
next_word(struct str *rest)
{
	struct str word;
	size_t i = 0;
	size_t start;

	while (i < rest->len && (rest->p[i] == ' ' || rest->p[i] == '\t'))
		i++;
	start = i;
	while (i < rest->len && rest->p[i] != ' ' && rest->p[i] != '\t')
		i++;
	word = (struct str){rest->p + start, i - start};
	rest->p += i;
	rest->len -= i;
	return word;
}

static struct str
next_line(struct str *rest)
{
	const char *end = memchr(rest->p, '\n', rest->len);
	struct str line = *rest;
	const char *hash;

	if (end != NULL) {
		line.len = (size_t)(end - rest->p);
		rest->p = end + 1;
		rest->len -= line.len + 1;
	} else {
		rest->p += rest->len;
		rest->len = 0;
	}
	if (line.len > 0 && line.p[line.len - 1] == '\r')
		line.len--;
	hash = line.len == 0 ? NULL : memchr(line.p, '#', line.len);
	if (hash != NULL)
		line.len = (size_t)(hash - line.p);
	return line;
}

static bool
is_valid_name(struct str s)
{
	if (s.len == 0 || s.len >= CFG_NAME_MAX || s.p[0] == '-')
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.p[i];

		if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-')
			return false;
	}
	return true;
}

static bool
parse_duration(struct str s, uint32_t *ms)
{
	uint64_t unit = 1;
	uint64_t v;

	if (s.len > 2 && s.p[s.len - 2] == 'm' && s.p[s.len - 1] == 's') {
		s.len -= 2;
	} else if (s.len > 1 && s.p[s.len - 1] == 's') {
		s.len -= 1;
		unit = 1000;
	} else {
		return false;
	}
	if (!str_parse_uint(s, MAX_DURATION_MS, &v) || v == 0)
		return false;
	if (v * unit > MAX_DURATION_MS)
		return false;
	*ms = (uint32_t)(v * unit);
	return true;
}

static void
set_count(struct parser *p, const char *key, struct str v, uint64_t min,
    uint64_t max, uint32_t *out)
{
	char expected[64];
	uint64_t n;

	if (str_parse_uint(v, max, &n) && n >= min) {
		*out = (uint32_t)n;
		return;
	}
	snprintf(expected, sizeof(expected), "expected a number %llu to %llu",
	    (unsigned long long)min, (unsigned long long)max);
	report_fault(p, key, v, expected);
}

static void
set_depends(struct parser *p, struct cfg_service *s, struct str v)
{
	if (!is_valid_name(v)) {
		report_fault(p, "depends", v, "expected the name of a service");
		return;
	}
	if (s->depends_count == CFG_DEPENDS_MAX) {
		report_fault(
		    p, "depends", v, "expected at most 16 dependencies");
		return;
	}
	str_copy(s->depends[s->depends_count++], CFG_NAME_MAX, v);
}

static void
set_field(struct parser *p, struct cfg_service *s, struct str key, struct str v)
{
	if (str_is(key, "address")) {
		if (!addr_parse(v, &s->addr))
			report_fault(p, "address", v, "expected IP:PORT");
	} else if (str_is(key, "depends")) {
		set_depends(p, s, v);
	} else if (str_is(key, "weigh")) {
		if (str_is(v, "flows"))
			s->weigh = CFG_WEIGH_FLOWS;
		else if (str_is(v, "balance"))
			s->weigh = CFG_WEIGH_BALANCE;
		else
			report_fault(
			    p, "weigh", v, "expected flows or balance");
	} else if (str_is(key, "slots")) {
		set_count(p, "slots", v, 1, 10000, &s->slots);
	} else if (str_is(key, "connections")) {
		set_count(p, "connections", v, 1, 100000, &s->connections);
	} else if (str_is(key, "queue")) {
		set_count(p, "queue", v, 0, 10000, &s->queue);
	} else if (str_is(key, "retries")) {
		set_count(p, "retries", v, 0, 100, &s->retry_percent);
	} else if (str_is(key, "deadline")) {
		if (!parse_duration(v, &s->deadline_ms))
			report_fault(p, "deadline", v,
			    "expected a time such as 500ms or 8s, at most "
			    "600s");
	} else if (str_is(key, "leave")) {
		if (!parse_duration(v, &s->leave_ms) ||
		    s->leave_ms < MIN_LEAVE_MS)
			report_fault(
			    p, "leave", v, "expected a time, 4s to 600s");
	} else {
		report_fault(p, "unknown key", key,
		    "expected address, depends, weigh, slots, connections, "
		    "queue, retries, deadline or leave");
	}
}

static struct cfg_service *
add_service(struct parser *p, struct str name)
{
	struct cfg_service *s;

	if (!is_valid_name(name))
		report_fault(p, "service", name,
		    "expected a name of a-z, 0-9 and -, at most 47 characters");
	p->services =
	    mem_grow(p->services, p->count + 1, sizeof(struct cfg_service));
	s = &p->services[p->count++];
	*s = (struct cfg_service){
	    .id = cfg_service_id(name),
	    .weigh = CFG_WEIGH_FLOWS,
	    .slots = DEFAULT_SLOTS,
	    .connections = DEFAULT_CONNECTIONS,
	    .queue = DEFAULT_QUEUE,
	    .deadline_ms = DEFAULT_DEADLINE_MS,
	    .leave_ms = DEFAULT_LEAVE_MS,
	    .retry_percent = DEFAULT_RETRY_PERCENT,
	    .line = p->line,
	};
	str_copy(s->name, sizeof(s->name), name);
	return s;
}

static void
parse_line(struct parser *p, struct str line)
{
	struct str key = next_word(&line);
	struct str value = next_word(&line);
	struct str extra = next_word(&line);
	struct cfg_service *s;

	if (key.len == 0)
		return;
	if (value.len == 0) {
		report_fault(
		    p, "missing value", key, "expected a value after the key");
		return;
	}
	if (str_is(key, "service")) {
		add_service(p, value);
		if (extra.len > 0)
			report_fault(
			    p, "service", extra, "expected end of line");
		return;
	}
	if (p->count == 0) {
		report_fault(
		    p, "before any service", key, "expected: service NAME");
		return;
	}
	s = &p->services[p->count - 1];
	set_field(p, s, key, value);
	while (extra.len > 0) {
		if (!str_is(key, "depends")) {
			report_fault(
			    p, "extra word", extra, "expected end of line");
			return;
		}
		set_depends(p, s, extra);
		extra = next_word(&line);
	}
}

static void
parse_lines(struct parser *p, struct str text)
{
	while (text.len > 0) {
		p->line++;
		parse_line(p, next_line(&text));
	}
}

/** Entry of a sorted index over the services. */
struct sort_key {
	uint64_t value;
	size_t index;
};

static int
key_compare(const void *a, const void *b)
{
	const struct sort_key *x = a;
	const struct sort_key *y = b;

	if (x->value != y->value)
		return x->value < y->value ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static struct sort_key *
sorted_keys(const struct parser *p, bool by_addr)
{
	struct sort_key *keys = mem_new((p->count + 1) * sizeof(*keys));

	for (size_t i = 0; i < p->count; i++) {
		const struct cfg_service *s = &p->services[i];

		keys[i].value = by_addr ? addr_pack(s->addr) : s->id;
		keys[i].index = i;
	}
	qsort(keys, p->count, sizeof(*keys), key_compare);
	return keys;
}

static void
check_duplicates(struct parser *p, const struct sort_key *keys, bool by_addr)
{
	for (size_t i = 1; i < p->count; i++) {
		const struct cfg_service *a = &p->services[keys[i - 1].index];
		const struct cfg_service *b = &p->services[keys[i].index];
		char text[ADDR_TEXT_MAX];

		if (keys[i].value != keys[i - 1].value)
			continue;
		p->line = b->line;
		if (!by_addr)
			report_fault(p, "service", str_of(b->name),
			    "expected a name that is not used twice");
		else if (a->addr.port != 0)
			report_fault(p, "address",
			    str_of(addr_text(b->addr, text)),
			    "expected an address that is not used twice");
	}
}

static size_t
index_of(const struct parser *p, const struct sort_key *keys, uint64_t id)
{
	size_t low = 0;
	size_t high = p->count;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (keys[mid].value < id)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < p->count && keys[low].value == id)
		return keys[low].index;
	return p->count;
}

/** State of a service in the depth-first search for dependency cycles. */
enum visit {
	VISIT_NEW = 0,
	VISIT_OPEN, /**< on the current path */
	VISIT_DONE
};

/** Stack frame of the depth-first search. */
struct dfs_frame {
	size_t service; /**< index */
	size_t edge;	/**< index of the next dependency */
};

static void
check_depends_from(struct parser *p, const struct sort_key *keys, uint8_t *seen,
    struct dfs_frame *stack, size_t start)
{
	size_t depth = 0;

	stack[depth++] = (struct dfs_frame){start, 0};
	seen[start] = VISIT_OPEN;
	while (depth > 0) {
		struct dfs_frame *top = &stack[depth - 1];
		const struct cfg_service *s = &p->services[top->service];
		struct str name;
		size_t to;

		if (top->edge == s->depends_count) {
			seen[top->service] = VISIT_DONE;
			depth--;
			continue;
		}
		name = str_of(s->depends[top->edge++]);
		p->line = s->line;
		to = index_of(p, keys, cfg_service_id(name));
		if (to == p->count) {
			report_fault(p, "depends", name,
			    "expected a service that is listed");
		} else if (seen[to] == VISIT_OPEN) {
			report_fault(p, "depends", name, "expected no cycle");
		} else if (seen[to] == VISIT_NEW) {
			seen[to] = VISIT_OPEN;
			stack[depth++] = (struct dfs_frame){to, 0};
		}
	}
}

static void
check_depends(struct parser *p, const struct sort_key *keys)
{
	uint8_t *seen = mem_new(p->count + 1);
	struct dfs_frame *stack = mem_new((p->count + 1) * sizeof(*stack));

	for (size_t i = 0; i < p->count; i++) {
		if (seen[i] == VISIT_NEW)
			check_depends_from(p, keys, seen, stack, i);
	}
	free(stack);
	free(seen);
}

static void
check_services(struct parser *p)
{
	struct sort_key *ids = sorted_keys(p, false);
	struct sort_key *addrs = sorted_keys(p, true);

	check_duplicates(p, ids, false);
	check_duplicates(p, addrs, true);
	check_depends(p, ids);
	for (size_t i = 0; i < p->count; i++) {
		const struct cfg_service *s = &p->services[i];

		p->line = s->line;
		if (s->addr.port == 0)
			report_fault(p, "service", str_of(s->name),
			    "expected an address");
	}
	free(ids);
	free(addrs);
}

struct status
cfg_parse(struct str text, const char *text_name, struct cfg *out)
{
	struct parser p = {.text_name = text_name};

	*out = (struct cfg){0};
	if (text.len > CFG_TEXT_MAX) {
		status_set(&p.st, STATUS_INVALID,
		    "%s: %zu bytes: expected at most %d", text_name, text.len,
		    CFG_TEXT_MAX);
		return p.st;
	}
	parse_lines(&p, text);
	check_services(&p);
	if (p.faults > 6)
		status_set(&p.st, STATUS_INVALID, "%s: %u more faults",
		    text_name, p.faults - 6);
	if (p.st.code != STATUS_OK) {
		free(p.services);
		return p.st;
	}
	out->text = (char *)str_dup(text);
	out->text_len = text.len;
	out->services = p.services;
	out->count = p.count;
	return p.st;
}

struct status
cfg_parse_service(struct str text, struct cfg_service *out)
{
	struct parser p = {.text_name = "service"};

	parse_lines(&p, text);
	if (p.st.code == STATUS_OK && p.count != 1)
		status_set(&p.st, STATUS_INVALID, "expected one service");
	if (p.st.code == STATUS_OK)
		*out = p.services[0];
	free(p.services);
	return p.st;
}

void
cfg_clear(struct cfg *c)
{
	free(c->text);
	free(c->services);
	*c = (struct cfg){0};
}

const struct cfg_service *
cfg_find(const struct cfg *c, uint64_t id)
{
	for (size_t i = 0; i < c->count; i++) {
		if (c->services[i].id == id)
			return &c->services[i];
	}
	return NULL;
}

size_t
cfg_write_service(const struct cfg_service *s, char *buf, size_t cap)
{
	char text[ADDR_TEXT_MAX];
	int n;

	n = snprintf(buf, cap,
	    "service %s\naddress %s\nweigh %s\nslots %u\nconnections %u\n"
	    "queue %u\nretries %u\ndeadline %ums\nleave %ums\n",
	    s->name, addr_text(s->addr, text),
	    s->weigh == CFG_WEIGH_BALANCE ? "balance" : "flows", s->slots,
	    s->connections, s->queue, s->retry_percent, s->deadline_ms,
	    s->leave_ms);
	for (size_t i = 0; i < s->depends_count && (size_t)n < cap; i++)
		n += snprintf(
		    buf + n, cap - (size_t)n, "depends %s\n", s->depends[i]);
	return n < 0 || (size_t)n >= cap ? 0 : (size_t)n;
}

static bool
is_same_service(const struct cfg_service *a, const struct cfg_service *b)
{
	char x[2048];
	char y[2048];
	size_t n = cfg_write_service(a, x, sizeof(x));

	return n == cfg_write_service(b, y, sizeof(y)) && memcmp(x, y, n) == 0;
}

static void
append_difference(char *buf, size_t cap, const char *name, const char *what)
{
	size_t used = strlen(buf);

	if (used + CFG_NAME_MAX + 16 < cap)
		snprintf(buf + used, cap - used, "%s%s (%s)",
		    used > 0 ? ", " : "", name, what);
}

void
cfg_list_differences(
    const struct cfg *a, const struct cfg *b, char *buf, size_t cap)
{
	buf[0] = '\0';
	for (size_t i = 0; i < a->count; i++) {
		const struct cfg_service *s = &a->services[i];
		const struct cfg_service *o = cfg_find(b, s->id);

		if (o == NULL)
			append_difference(buf, cap, s->name, "removed");
		else if (!is_same_service(s, o))
			append_difference(buf, cap, s->name, "changed");
	}
	for (size_t i = 0; i < b->count; i++) {
		if (cfg_find(a, b->services[i].id) == NULL)
			append_difference(
			    buf, cap, b->services[i].name, "added");
	}
	if (buf[0] == '\0')
		str_copy(buf, cap, str_of("no service"));
}
