#include "flow_commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
words_split(struct words *w, const char *arg)
{
	char *rest;

	*w = (struct words){0};
	for (size_t i = 0; i < WORDS_MAX; i++)
		w->word[i] = "";
	snprintf(w->text, sizeof(w->text), "%s", arg);
	for (char *at = strtok_r(w->text, " ", &rest);
	     at != NULL && w->count < WORDS_MAX;
	     at = strtok_r(NULL, " ", &rest))
		w->word[w->count++] = at;
}

uint32_t
words_get_u32(const struct words *w, size_t at)
{
	return (uint32_t)strtoul(w->word[at], NULL, 10);
}

/* Address range and port for each letter of a name. */
static const struct {
	char kind;
	uint32_t net;
	uint16_t port;
} kinds[] = {{'a', 0x0a000000, 7700}, {'b', 0x0a010000, 7700},
    {'c', 0x64400000, 40000}, {'s', 0xc6120000, 443}};

uint64_t
parse_address_name(const char *name)
{
	uint32_t n = (uint32_t)strtoul(name + 1, NULL, 10);

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (kinds[i].kind == name[0])
			return addr_pack(
			    (struct addr){kinds[i].net + n, kinds[i].port});
	}
	return 0;
}

const char *
format_address_name(uint64_t id)
{
	static char names[4][16];
	static unsigned next;
	char *name = names[next++ % 4];
	struct addr a = addr_unpack(id);

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if ((a.ip & 0xffff0000) == kinds[i].net)
			snprintf(name, sizeof(names[0]), "%c%u", kinds[i].kind,
			    a.ip & 0xffff);
	}
	return name;
}

struct flow_key
parse_flow(const char *caller, const char *service)
{
	return (struct flow_key){
	    parse_address_name(caller), parse_address_name(service)};
}
