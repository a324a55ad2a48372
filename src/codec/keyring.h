/**
 * @file keyring.h
 * Shared keys that authenticate frames between balancers, agents and the
 * operator's commands. The first key signs and up to two are accepted, so that
 * a key can be changed without downtime.
 */
#ifndef PW_KEYRING_H
#define PW_KEYRING_H

#include "base/status.h"
#include "base/str.h"

/** Length of a key in bytes. */
#define KEY_LEN 16
/** Length of a frame's MAC in bytes: SipHash-2-4 with 128 bits of output. */
#define KEY_MAC_LEN 16
/** Maximum number of keys that are accepted. */
#define KEYS_MAX 2

/** The keys in use. */
struct keyring {
	uint8_t keys[KEYS_MAX][KEY_LEN];
	size_t count;
};

/**
 * Read a key file: one or two lines of 32 hexadecimal digits.
 * @return STATUS_INVALID with the file and line; the text never shows a key
 */
struct status key_load(struct keyring *k, const char *path);
/** Write the MAC of a text by the first key, KEY_MAC_LEN bytes. */
void key_sign(const struct keyring *k, struct str text, uint8_t *mac);
/** Whether the MAC of a text was made with one of the keys. */
bool key_verify(const struct keyring *k, struct str text, const uint8_t *mac);

#endif
