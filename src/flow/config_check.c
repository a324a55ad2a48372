#include "flow/config_check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- lists ---- */

/* Removes control characters, with which a name could forge output lines. */
static char *
make_printable(char *text)
{
	for (char *c = text; *c != '\0'; c++) {
		if ((unsigned char)*c < ' ' || *c == 0x7f)
			*c = '?';
	}
	return text;
}

static char *
format_list(const char *fmt, va_list args)
{
	char *text;

	if (vasprintf(&text, fmt, args) < 0)
		abort();
	return make_printable(text);
}

static char *format(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static char *
format(const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = format_list(fmt, args);
	va_end(args);
	return text;
}

/* Grows an array when its length reaches a power of two. */
static void *
reserve_one(void *items, size_t count, size_t size)
{
	if ((count & (count - 1)) != 0)
		return items;
	return mem_grow(items, count == 0 ? 1 : 2 * count, size);
}

char *
config_place(const char *list, size_t index, const char *name)
{
	if (name == NULL)
		return format("%s[%zu]", list, index);
	return format("%s[%zu] \"%s\"", list, index, name);
}

void
config_add_finding(struct config_findings *to, bool error, const char *place,
    const char *fmt, ...)
{
	struct config_finding *f;
	va_list args;

	to->items = reserve_one(to->items, to->count, sizeof(*to->items));
	f = &to->items[to->count++];
	f->error = error;
	f->place = format("%s", place);
	va_start(args, fmt);
	f->reason = format_list(fmt, args);
	va_end(args);
	to->errors += error;
}

void
config_findings_clear(struct config_findings *f)
{
	for (size_t i = 0; i < f->count; i++) {
		free(f->items[i].place);
		free(f->items[i].reason);
	}
	free(f->items);
	*f = (struct config_findings){0};
}

void
config_differences_clear(struct config_differences *d)
{
	for (size_t i = 0; i < d->count; i++) {
		free(d->items[i].place);
		free(d->items[i].change);
	}
	free(d->items);
	*d = (struct config_differences){0};
}

/* Takes over place and change. */
static void
add_difference(struct config_differences *to, char *place, char *change,
    const char *effect)
{
	to->items = reserve_one(to->items, to->count, sizeof(*to->items));
	to->items[to->count++] =
	    (struct config_difference){place, change, effect};
}

/* ---- indexes ---- */

struct address_entry {
	uint64_t at;
	size_t index; /* of the last route with the address */
	UT_hash_handle hh;
};

struct name_entry {
	const char *name;
	size_t index; /* of the last service with the name */
	bool used;
	UT_hash_handle hh;
};

struct index {
	struct address_entry *addresses;
	struct name_entry *names;
};

/* Returns the index before the change; SIZE_MAX if the address is new. */
static size_t
index_address(struct index *x, struct addr address, size_t i)
{
	uint64_t at = addr_pack(address);
	struct address_entry *e;
	size_t before;

	HASH_FIND(hh, x->addresses, &at, sizeof(at), e);
	if (e == NULL) {
		e = mem_new(sizeof(*e));
		e->at = at;
		e->index = SIZE_MAX;
		HASH_ADD(hh, x->addresses, at, sizeof(e->at), e);
	}
	before = e->index;
	e->index = i;
	return before;
}

static size_t
find_address(const struct index *x, struct addr address)
{
	uint64_t at = addr_pack(address);
	struct address_entry *e;

	HASH_FIND(hh, x->addresses, &at, sizeof(at), e);
	return e == NULL ? SIZE_MAX : e->index;
}

static struct name_entry *
find_name(const struct index *x, const char *name)
{
	struct name_entry *e;

	HASH_FIND_STR(x->names, name, e);
	return e;
}

static size_t
index_name(struct index *x, const char *name, size_t i)
{
	struct name_entry *e = find_name(x, name);
	size_t before;

	if (e == NULL) {
		e = mem_new(sizeof(*e));
		e->name = name;
		e->index = SIZE_MAX;
		HASH_ADD_KEYPTR(hh, x->names, e->name, strlen(e->name), e);
	}
	before = e->index;
	e->index = i;
	return before;
}

static void
index_all(struct index *x, const struct config_description *d)
{
	for (size_t i = 0; i < d->route_count; i++) {
		if (d->routes[i].address_valid)
			index_address(x, d->routes[i].address, i);
	}
	for (size_t i = 0; i < d->service_count; i++) {
		if (d->services[i].name != NULL)
			index_name(x, d->services[i].name, i);
	}
}

static void
index_clear(struct index *x)
{
	struct address_entry *a, *next_address;
	struct name_entry *n, *next_name;

	HASH_ITER(hh, x->addresses, a, next_address)
	{
		HASH_DEL(x->addresses, a);
		free(a);
	}
	HASH_ITER(hh, x->names, n, next_name)
	{
		HASH_DEL(x->names, n);
		free(n);
	}
}

/* ---- check ---- */

static void
check_shares(const struct config_route *r, const char *place, struct index *x,
    struct config_findings *out)
{
	uint64_t total = 0;
	bool valid = r->shares_valid;

	for (size_t i = 0; i < r->share_count; i++) {
		total += r->shares[i].weight;
		valid = valid && r->shares[i].weight_valid;
	}
	if (valid && r->share_count > 0 && total == 0)
		config_add_finding(
		    out, true, place, "never matches: all weights are 0");
	for (size_t i = 0; i < r->share_count; i++) {
		const struct config_share *s = &r->shares[i];
		struct name_entry *e;

		if (s->service == NULL)
			continue;
		if (s->weight_valid && s->weight == 0 && total > 0)
			config_add_finding(out, false, place,
			    "share %zu, service \"%s\", gets no new flows: "
			    "its weight is 0",
			    i, s->service);
		e = find_name(x, s->service);
		if (e == NULL)
			config_add_finding(out, false, place,
			    "service \"%s\" is not among the services",
			    s->service);
		else
			e->used = true;
	}
}

static void
check_times(const struct config_route *r, uint64_t idle_ms, const char *place,
    struct config_findings *out)
{
	if (r->timeout_ms != 0 && r->latency_ms > r->timeout_ms)
		config_add_finding(out, true, place,
		    "target latency %" PRIu32 " ms is over the timeout %" PRIu32
		    " ms",
		    r->latency_ms, r->timeout_ms);
	if (idle_ms != 0 && idle_ms < r->latency_ms)
		config_add_finding(out, true, place,
		    "idle timeout %" PRIu64
		    " ms is under the target latency %" PRIu32 " ms",
		    idle_ms, r->latency_ms);
	if (idle_ms != 0 && idle_ms < r->timeout_ms)
		config_add_finding(out, true, place,
		    "idle timeout %" PRIu64 " ms is under the timeout %" PRIu32
		    " ms",
		    idle_ms, r->timeout_ms);
}

static void
check_service(const struct config_service *s, const char *place,
    struct config_findings *out)
{
	/* The limit applies while a target states that it is cold, so it is
	 * kept at the balancers whatever the configured duration is. */
	if (s->cold_per_s > 0 && s->cold_s < 0.0005)
		config_add_finding(out, false, place,
		    "a limit of %g cold flows a second contradicts a cold "
		    "start of 0 s",
		    s->cold_per_s);
	else if (s->cold_per_s > 0 && s->cold_per_s < 0.0005)
		config_add_finding(out, true, place,
		    "a limit of %g cold flows a second is rounded to 0, which "
		    "means no limit",
		    s->cold_per_s);
	else if (s->cold_per_s > 0 && s->cold_per_s * s->cold_s < 1)
		config_add_finding(out, false, place,
		    "the limit admits less than one flow during the cold "
		    "start");
}

void
config_check(const struct config_description *d, struct config_findings *out)
{
	struct index x = {0};

	for (size_t i = 0; i < d->service_count; i++) {
		const char *name = d->services[i].name;
		char *place = config_place(d->names.services, i, name);
		size_t before =
		    name == NULL ? SIZE_MAX : index_name(&x, name, i);

		if (before != SIZE_MAX)
			config_add_finding(out, true, place,
			    "the same name as services[%zu], which is replaced",
			    before);
		check_service(&d->services[i], place, out);
		free(place);
	}
	for (size_t i = 0; i < d->route_count; i++) {
		const struct config_route *r = &d->routes[i];
		char *place = config_place(d->names.routes, i, r->name);
		size_t before = r->address_valid
				    ? index_address(&x, r->address, i)
				    : SIZE_MAX;

		if (before != SIZE_MAX)
			config_add_finding(out, true, place,
			    "the same address as routes[%zu], which never "
			    "matches",
			    before);
		check_shares(r, place, &x, out);
		check_times(r, d->idle_ms, place, out);
		free(place);
	}
	for (size_t i = 0; i < d->service_count; i++) {
		const char *name = d->services[i].name;
		char *place;

		if (name == NULL || find_name(&x, name)->used)
			continue;
		place = config_place(d->names.services, i, name);
		config_add_finding(out, false, place, "no route names it");
		free(place);
	}
	index_clear(&x);
}

/* ---- differences ---- */

static const char stays[] = "stay where they are";

static bool
same_shares(const struct config_route *a, const struct config_route *b)
{
	if (a->share_count != b->share_count)
		return false;
	for (size_t i = 0; i < a->share_count; i++) {
		const struct config_share *s = &a->shares[i];
		const struct config_share *t = &b->shares[i];

		if (s->weight != t->weight || s->service == NULL ||
		    t->service == NULL || strcmp(s->service, t->service) != 0)
			return false;
	}
	return true;
}

static void
compare_routes(const struct config_route *old, const struct config_route *r,
    const char *list, size_t i, struct config_differences *out)
{
	if (!same_shares(old, r))
		add_difference(out, config_place(list, i, r->name),
		    format("services or weights changed"), stays);
	if (old->kind != r->kind || old->priority != r->priority ||
	    old->latency_ms != r->latency_ms ||
	    old->timeout_ms != r->timeout_ms)
		add_difference(out, config_place(list, i, r->name),
		    format("type, priority, target latency or timeout changed"),
		    stays);
}

static void
compare_all_routes(const struct config_description *in_force,
    const struct index *old, const struct config_description *next,
    const struct index *new, struct config_differences *out)
{
	char text[ADDR_TEXT_MAX];

	for (size_t i = 0; i < in_force->route_count; i++) {
		const struct config_route *r = &in_force->routes[i];

		if (r->address_valid && find_address(old, r->address) == i &&
		    find_address(new, r->address) == SIZE_MAX)
			add_difference(out,
			    config_place(next->names.routes, i, r->name),
			    format("route of %s dropped",
				addr_text(r->address, text)),
			    "are reset at their next packet from the caller");
	}
	for (size_t i = 0; i < next->route_count; i++) {
		const struct config_route *r = &next->routes[i];
		size_t k;

		if (!r->address_valid || find_address(new, r->address) != i)
			continue;
		k = find_address(old, r->address);
		if (k == SIZE_MAX)
			add_difference(out,
			    config_place(next->names.routes, i, r->name),
			    format("route of %s added",
				addr_text(r->address, text)),
			    "none to this address");
		else
			compare_routes(&in_force->routes[k], r,
			    next->names.routes, i, out);
	}
}

static void
compare_services(const struct config_description *in_force,
    const struct index *old, const struct config_description *next,
    const struct index *new, struct config_differences *out)
{
	const struct config_service none = {0};

	for (size_t i = 0; i < in_force->service_count; i++) {
		const struct config_service *s = &in_force->services[i];

		if (s->name != NULL && find_name(new, s->name) == NULL)
			add_difference(out,
			    config_place(next->names.services, i, s->name),
			    format("service dropped"), stays);
	}
	for (size_t i = 0; i < next->service_count; i++) {
		const struct config_service *s = &next->services[i];
		const struct config_service *was = &none;
		const struct name_entry *e;

		if (s->name == NULL || find_name(new, s->name)->index != i)
			continue;
		e = find_name(old, s->name);
		if (e != NULL)
			was = &in_force->services[e->index];
		if (e == NULL || was->cold_s != s->cold_s ||
		    was->cold_per_s != s->cold_per_s)
			add_difference(out,
			    config_place(next->names.services, i, s->name),
			    format(e == NULL ? "service added"
					     : "cold limits changed"),
			    stays);
	}
}

void
config_compare(const struct config_description *in_force,
    const struct config_description *next, struct config_differences *out)
{
	struct index old = {0};
	struct index new = {0};

	index_all(&old, in_force);
	index_all(&new, next);
	if (next->version <= in_force->version)
		add_difference(out, format("%s", next->names.version),
		    format("%" PRIu64 " is not above %" PRIu64, next->version,
			in_force->version),
		    "unaffected: balancers keep the version in force");
	compare_all_routes(in_force, &old, next, &new, out);
	compare_services(in_force, &old, next, &new, out);
	/* Agents expire flows by their own setting, not by the routes. */
	if (in_force->idle_ms != next->idle_ms)
		add_difference(out, format("%s", next->names.limits),
		    format("idle timeout changed from %" PRIu64 " to %" PRIu64
			   " ms",
			in_force->idle_ms, next->idle_ms),
		    "unaffected: agents end idle flows by their setting "
		    "flow_life_s");
	index_clear(&old);
	index_clear(&new);
}
