/**
 * @file delta.h
 * Delta encoding of a text against an earlier one: everything except the
 * common prefix and suffix. A new configuration mostly changes one service,
 * so its delta is short.
 */
#ifndef PW_DELTA_H
#define PW_DELTA_H

#include "base/str.h"

/** A new text, as a change of an old one. */
struct delta {
	uint32_t
	    prefix; /**< bytes that the old text starts with and that stay */
	uint32_t suffix; /**< bytes that the old text ends with and that stay */
	struct str middle; /**< new bytes between prefix and suffix */
};

/** Compute a delta. Its middle points into the new text. */
struct delta delta_make(struct str from, struct str to);
/**
 * Build the new text on the heap; free() it.
 * @param len set to its length in bytes
 * @return NULL if the delta does not fit the old text or the result is longer
 * than CFG_TEXT_MAX
 */
char *delta_apply(struct str from, const struct delta *d, size_t *len);
/** Hash of a text, to verify the result of delta_apply(). */
uint64_t delta_hash(struct str text);

#endif
