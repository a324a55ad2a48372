#include "base/lenient_json.h"

/** Levels of arrays and objects whose elements are decoded one by one: enough
 * for a field in a list within an object of a list. */
#define LEVELS_MAX 8
/** Most calls of the JSON library for one document, so that a large value with
 * many unreadable elements does not occupy the process. */
#define DECODES_MAX 16384

struct decoder {
	unsigned decodes_left;
	size_t unreadable;
};

static const char *
skip_space(const char *p, const char *end)
{
	while (
	    p != end && (*p == ' ' || *p == '\t' || *p == '\r' || *p == '\n'))
		p++;
	return p;
}

/* Returns the closing quote of the string that begins at p; NULL if there is
 * none. */
static const char *
string_end(const char *p, const char *end)
{
	bool escaped = false;

	for (p++; p != end; p++) {
		if (!escaped && *p == '"')
			return p;
		escaped = !escaped && *p == '\\';
	}
	return NULL;
}

/* Returns the comma or bracket that follows the value at p; NULL if there is
 * none. */
static const char *
value_end(const char *p, const char *end)
{
	size_t depth = 0;

	for (; p != end; p++) {
		if (*p == '"') {
			p = string_end(p, end);
			if (p == NULL)
				return NULL;
		} else if (*p == '[' || *p == '{') {
			depth++;
		} else if (depth == 0 &&
			   (*p == ',' || *p == ']' || *p == '}')) {
			return p;
		} else if (*p == ']' || *p == '}') {
			depth--;
		}
	}
	return NULL;
}

static json_t *
try_decode(struct decoder *d, struct str text)
{
	if (d->decodes_left == 0)
		return NULL;
	d->decodes_left--;
	return json_loadb(text.p, text.len, JSON_DECODE_ANY, NULL);
}

/* Reads the key at *p and moves *p behind the colon. Returns false if there is
 * no key; *key is NULL if it cannot be decoded. */
static bool
read_key(struct decoder *d, const char **p, const char *end, json_t **key)
{
	const char *start = skip_space(*p, end);
	const char *stop;

	if (start == end || *start != '"')
		return false;
	stop = string_end(start, end);
	if (stop == NULL)
		return false;
	*key = try_decode(d, (struct str){start, (size_t)(stop + 1 - start)});
	*p = skip_space(stop + 1, end);
	if (*p == end || **p != ':')
		return false;
	(*p)++;
	return true;
}

/* Stores a decoded element. One whose key cannot be decoded is left out. */
static void
add_part(struct decoder *d, json_t *parts, json_t *key, json_t *value)
{
	if (json_is_array(parts)) {
		json_array_append_new(parts, value);
	} else if (json_is_string(key)) {
		json_object_set_new(parts, json_string_value(key), value);
	} else {
		json_decref(value);
		d->unreadable++;
	}
	json_decref(key);
}

static json_t *decode_value(struct decoder *d, struct str text, unsigned level);

/* Decodes the elements of an array or object one by one. Returns NULL if the
 * text is neither. */
static json_t *
decode_parts(struct decoder *d, struct str text, unsigned level)
{
	const char *end = text.p + text.len;
	const char *p = skip_space(text.p, end);
	char bracket = p == end ? '\0' : *p;
	json_t *parts;

	if (bracket != '{' && bracket != '[')
		return NULL;
	parts = bracket == '{' ? json_object() : json_array();
	do {
		json_t *key = NULL;
		const char *value = p + 1;
		bool ok = bracket == '[' || read_key(d, &value, end, &key);

		p = ok ? value_end(value, end) : NULL;
		if (p == NULL) {
			json_decref(key);
			json_decref(parts);
			return NULL;
		}
		add_part(d, parts, key,
		    decode_value(d, (struct str){value, (size_t)(p - value)},
			level + 1));
	} while (*p == ',');
	if (*p != (bracket == '{' ? '}' : ']') ||
	    skip_space(p + 1, end) != end) {
		json_decref(parts);
		return NULL;
	}
	return parts;
}

static json_t *
decode_value(struct decoder *d, struct str text, unsigned level)
{
	json_t *value = try_decode(d, text);

	if (value == NULL && level < LEVELS_MAX && d->decodes_left > 0)
		value = decode_parts(d, text, level);
	if (value != NULL)
		return value;
	d->unreadable++;
	return json_null();
}

json_t *
lenient_json_load(struct str text, size_t *unreadable)
{
	struct decoder d = {.decodes_left = DECODES_MAX};
	json_t *root = try_decode(&d, text);

	if (root == NULL)
		root = decode_parts(&d, text, 0);
	*unreadable = d.unreadable;
	return root;
}
