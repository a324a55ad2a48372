#include "codec/config_object.h"

#include <jansson.h>
#include <string.h>

char *
config_object_encode(const struct sub_object *o)
{
	json_t *history = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < o->history_count; i++)
		json_array_append_new(
		    history, json_pack("{s:I, s:s}", "version",
				 (json_int_t)o->history[i].version,
				 "submission", o->history[i].submission));
	root = json_pack("{s:I, s:s, s:o, s:s%}", "version",
	    (json_int_t)o->version, "submission", o->submission, "history",
	    history, "text", o->text.p, o->text.len);
	text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static bool
get_version_entry(json_t *v, uint64_t *version, char *submission)
{
	json_t *id = json_object_get(v, "submission");
	json_t *n = json_object_get(v, "version");

	if (!json_is_string(id) || !json_is_integer(n) ||
	    json_integer_value(n) <= 0)
		return false;
	*version = (uint64_t)json_integer_value(n);
	str_copy(submission, SUB_ID_MAX, str_of(json_string_value(id)));
	return true;
}

bool
config_object_decode(struct str body, struct sub_object *out)
{
	/* Earlier releases stored texts that contain a NUL. */
	json_t *root = json_loadb(body.p, body.len, JSON_ALLOW_NUL, NULL);
	json_t *text = json_object_get(root, "text");
	json_t *history = json_object_get(root, "history");
	json_t *item;
	size_t i;
	bool ok;

	*out = (struct sub_object){0};
	ok = json_is_string(text) &&
	     get_version_entry(root, &out->version, out->submission);
	json_array_foreach(history, i, item)
	{
		if (i >= SUB_HISTORY_MAX)
			break;
		if (!get_version_entry(item, &out->history[i].version,
			out->history[i].submission))
			break;
		out->history_count++;
	}
	if (ok) {
		struct str s = {
		    json_string_value(text), json_string_length(text)};

		out->text = (struct str){(char *)str_dup(s), s.len};
	}
	json_decref(root);
	return ok;
}
