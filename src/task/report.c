#include "task/report.h"

#include <jansson.h>

static const char *
phase_name(enum mbr_phase phase)
{
	static const char *const names[] = {
	    "unknown", "joining", "active", "leaving", "left"};

	return names[phase <= MBR_LEFT ? phase : 0];
}

static const char *
health_name(enum mbr_health health)
{
	static const char *const names[] = {"ok", "suspect", "dead"};

	return names[health];
}

/** Context of add_member(). */
struct member_list {
	const struct balancer *b;
	json_t *items;
};

static void
add_member(void *ctx, struct mbr_entry *e)
{
	struct member_list *list = ctx;
	const struct member *self = mbr_self(bal_members(list->b));
	const struct cfg_service *s =
	    cfg_find(bal_config(list->b), e->m.service);
	char text[ADDR_TEXT_MAX];
	uint64_t version = e->version;

	if (e->m.id == self->id)
		version = bal_config(list->b)->version;
	json_array_append_new(list->items,
	    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:b}", "role",
		e->m.role == MBR_AGENT ? "agent" : "balancer", "domain",
		e->m.domain, "service", s == NULL ? "" : s->name, "address",
		addr_text(e->m.addr, text), "phase", phase_name(e->m.phase),
		"health", health_name(e->m.health), "version",
		(json_int_t)version, "watched",
		e->watched || e->m.id == self->id));
}

char *
report_balancer(const struct balancer *b)
{
	const struct member *self = mbr_self(bal_members(b));
	struct member_list list = {b, json_array()};
	json_t *root;
	char *text;

	mbr_for_each(bal_members(b), add_member, &list);
	root = json_pack("{s:s, s:s, s:s, s:I, s:I, s:o}", "role", "balancer",
	    "domain", self->domain, "phase", phase_name(self->phase), "version",
	    (json_int_t)bal_config(b)->version, "hints",
	    (json_int_t)bal_hint_count(b), "members", list.items);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

char *
report_agent(const struct agent *a)
{
	const struct member *self = mbr_self(agt_members(a));
	struct agt_status status;
	json_t *root;
	char *text;

	agt_get_status(a, &status);
	root = json_pack(
	    "{s:s, s:s, s:s, s:I, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
	    "role", "agent", "domain", self->domain, "phase",
	    phase_name(status.phase), "version", (json_int_t)status.version,
	    "target_up", status.target_up, "in_flight",
	    (json_int_t)status.in_flight, "queued", (json_int_t)status.queued,
	    "flows", (json_int_t)status.flows, "home_of",
	    (json_int_t)status.entries, "feeds", (json_int_t)status.feeds,
	    "copies", (json_int_t)status.copies, "permits",
	    (json_int_t)status.permits);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

char *
report_counters(const struct counters *c)
{
	json_t *root = json_object();
	char *text;

	for (int i = 0; i < CTR_COUNT; i++)
		json_object_set_new(root, ctr_name((enum counter)i),
		    json_integer((json_int_t)c->value[i]));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
