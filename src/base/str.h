/**
 * @file str.h
 * Strings with a length, IPv4 endpoints, and allocation.
 */
#ifndef PW_STR_H
#define PW_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A string that is owned elsewhere and has no terminating NUL. */
struct str {
	const char *p; /**< first byte, may be NULL if len is 0 */
	size_t len;    /**< length in bytes */
};

/** An IPv4 endpoint in host byte order. */
struct addr {
	uint32_t ip;   /**< address */
	uint16_t port; /**< UDP or TCP port */
};

/** Buffer size in bytes for the text form of an endpoint, with the NUL. */
#define ADDR_TEXT_MAX 24

/** A NUL-terminated text as a string; the bytes are not copied. */
struct str str_of(const char *text);
/** Whether two strings hold the same bytes. */
bool str_eq(struct str a, struct str b);
/** Whether a string equals a NUL-terminated text. */
bool str_is(struct str a, const char *text);
/** Copy into a buffer of cap bytes; truncates and adds a NUL. */
void str_copy(char *dst, size_t cap, struct str src);
/** Copy to the heap with a NUL added; free() it. Aborts if out of memory. */
uint8_t *str_dup(struct str src);
/**
 * Parse an unsigned decimal number.
 * @return false if malformed, longer than 19 digits or above max
 */
bool str_parse_uint(struct str s, uint64_t max, uint64_t *out);
/** Whether a string is UTF-8 and contains no NUL, as JSON texts require. */
bool str_is_text(struct str s);

/** Parse "a.b.c.d:port". @return false if malformed or port is 0 */
bool addr_parse(struct str text, struct addr *out);
/** Format as "a.b.c.d:port". @return buf */
const char *addr_text(struct addr a, char buf[ADDR_TEXT_MAX]);
/** Pack into one integer: ip in bits 16..47, port in bits 0..15. */
uint64_t addr_pack(struct addr a);
/** Inverse of addr_pack(). */
struct addr addr_unpack(uint64_t v);
/** Whether two endpoints are the same. */
bool addr_eq(struct addr a, struct addr b);

/** Allocate zeroed memory; aborts if out of memory. */
void *mem_new(size_t size);
/** Resize an array to count elements of size bytes; aborts if out of memory. */
void *mem_grow(void *p, size_t count, size_t size);

#endif
