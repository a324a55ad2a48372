/**
 * @file document.h
 * The document that the stand-in for targets serves and the stand-in for
 * callers expects.
 */
#ifndef PW_DOCUMENT_H
#define PW_DOCUMENT_H

#include "base/rng.h"
#include "base/str.h"

#include <string.h>

#define DOCUMENT_BYTES (1024 * 1024)

/**
 * Create the document of a service. Its content depends on the length of the
 * service's name. The caller owns the buffer of DOCUMENT_BYTES.
 */
static inline uint8_t *
document_create(const char *service)
{
	uint8_t *document = mem_new(DOCUMENT_BYTES);
	struct rng content;

	rng_init(&content, strlen(service));
	for (size_t i = 0; i < DOCUMENT_BYTES; i += sizeof(uint64_t)) {
		uint64_t v = rng_next(&content);

		memcpy(document + i, &v, sizeof(v));
	}
	return document;
}

#endif
