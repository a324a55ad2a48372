#include "decide/delta.h"

#include "decide/config.h"

#include <string.h>
#include <xxhash.h>

struct delta
delta_make(struct str from, struct str to)
{
	size_t most = from.len < to.len ? from.len : to.len;
	struct delta d = {0};

	while (d.prefix < most && from.p[d.prefix] == to.p[d.prefix])
		d.prefix++;
	while (d.suffix < most - d.prefix &&
	       from.p[from.len - 1 - d.suffix] == to.p[to.len - 1 - d.suffix])
		d.suffix++;
	d.middle = (struct str){to.p + d.prefix, to.len - d.prefix - d.suffix};
	return d;
}

char *
delta_apply(struct str from, const struct delta *d, size_t *len)
{
	size_t kept = (size_t)d->prefix + d->suffix;
	char *text;

	if (kept > from.len || kept + d->middle.len > CFG_TEXT_MAX)
		return NULL;
	*len = kept + d->middle.len;
	text = mem_new(*len + 1);
	if (d->prefix > 0)
		memcpy(text, from.p, d->prefix);
	if (d->middle.len > 0)
		memcpy(text + d->prefix, d->middle.p, d->middle.len);
	if (d->suffix > 0)
		memcpy(text + d->prefix + d->middle.len,
		    from.p + from.len - d->suffix, d->suffix);
	return text;
}

uint64_t
delta_hash(struct str text)
{
	return XXH3_64bits(text.p, text.len);
}
