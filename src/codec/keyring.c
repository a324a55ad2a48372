#include "codec/keyring.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static bool
read_key(const char *line, size_t len, uint8_t *key)
{
	size_t got = 0;

	if (len != (size_t)KEY_LEN * 2)
		return false;
	return sodium_hex2bin(key, KEY_LEN, line, len, NULL, &got, NULL) == 0 &&
	       got == KEY_LEN;
}

struct status
key_load(struct keyring *k, const char *path)
{
	struct status st = {0};
	char line[128];
	unsigned line_number = 0;
	FILE *f = fopen(path, "re");

	k->count = 0;
	if (f == NULL) {
		status_set(&st, STATUS_INVALID, "%s: key file: %s", path,
		    strerror(errno));
		return st;
	}
	while (fgets(line, sizeof(line), f) != NULL) {
		size_t len = strcspn(line, "\r\n");

		line_number++;
		if (len == 0)
			continue;
		if (k->count == KEYS_MAX ||
		    !read_key(line, len, k->keys[k->count])) {
			status_set(&st, STATUS_INVALID,
			    "%s:%u: expected at most two keys of 32 "
			    "hexadecimal digits, one on a line",
			    path, line_number);
			break;
		}
		k->count++;
	}
	sodium_memzero(line, sizeof(line));
	fclose(f);
	if (st.code == STATUS_OK && k->count == 0)
		status_set(
		    &st, STATUS_INVALID, "%s: key file holds no key", path);
	return st;
}

void
key_sign(const struct keyring *k, struct str text, uint8_t *mac)
{
	crypto_shorthash_siphashx24(
	    mac, (const uint8_t *)text.p, text.len, k->keys[0]);
}

bool
key_verify(const struct keyring *k, struct str text, const uint8_t *mac)
{
	uint8_t expected[KEY_MAC_LEN];

	for (size_t i = 0; i < k->count; i++) {
		crypto_shorthash_siphashx24(
		    expected, (const uint8_t *)text.p, text.len, k->keys[i]);
		if (sodium_memcmp(expected, mac, KEY_MAC_LEN) == 0)
			return true;
	}
	return false;
}
