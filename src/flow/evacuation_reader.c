#include "flow/evacuation_reader.h"

/** HTTP statuses of the store. */
#define HTTP_OK 200
#define HTTP_GONE 410

bool
evacuation_reader_path(const struct evacuation_reader *r,
    const struct platform_ops *ops, unsigned wait_ms,
    char path[PLATFORM_PATH_MAX])
{
	if (r->complete)
		ops->watch_evacuations_path(r->revision, wait_ms, path);
	else
		ops->evacuations_path(r->after, path);
	return r->complete;
}

static void
add_tag(struct evacuation_reader *r, uint32_t tag)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (r->tags[i] == tag)
			return;
	}
	if (r->count == FLOW_EVACUATED_MAX)
		r->omitted++;
	else
		r->tags[r->count++] = tag;
}

static void
remove_tag(struct evacuation_reader *r, uint32_t tag)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (r->tags[i] == tag)
			r->tags[i] = r->tags[--r->count];
	}
}

static void
apply_items(struct evacuation_reader *r, const struct platform_evacuations *in)
{
	for (size_t i = 0; i < in->count; i++) {
		uint32_t tag = flow_service_tag(str_of(in->items[i].domain));

		if (in->items[i].ended)
			remove_tag(r, tag);
		else
			add_tag(r, tag);
	}
}

/* Forget what was read: the next call lists all evacuations. */
static struct evacuation_outcome
begin_list(
    struct evacuation_reader *r, enum evacuation_step step, const char *error)
{
	*r = (struct evacuation_reader){0};
	return (struct evacuation_outcome){.step = step, .error = error};
}

struct evacuation_outcome
evacuation_reader_handle(struct evacuation_reader *r, long status,
    const struct platform_evacuations *in)
{
	bool watched = r->complete;

	if (status == HTTP_GONE && watched)
		return begin_list(
		    r, EVACUATION_RELIST, "the history is discarded");
	if (status != HTTP_OK)
		return begin_list(
		    r, EVACUATION_REJECTED, "the status is unexpected");
	if (in == NULL)
		return begin_list(
		    r, EVACUATION_REJECTED, "the response is malformed");
	if (in->changes != watched)
		return begin_list(r, EVACUATION_REJECTED,
		    "the response is not of the kind of the request");
	if (watched && in->count > 0 && r->omitted > 0)
		return begin_list(r, EVACUATION_RELIST,
		    "more failure domains were evacuated than are kept");
	apply_items(r, in);
	/* Changes while several pages are read are watched from the first page
	 * on. */
	if (watched || !r->paged)
		r->revision = in->revision;
	r->paged = !watched && in->more;
	if (r->paged) {
		str_copy(r->after, sizeof(r->after), str_of(in->after));
		return (struct evacuation_outcome){
		    EVACUATION_CONTINUE, 0, NULL};
	}
	r->complete = true;
	return (struct evacuation_outcome){
	    watched ? EVACUATION_CHANGED : EVACUATION_LISTED,
	    watched ? in->changed : 0, NULL};
}
