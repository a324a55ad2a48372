/**
 * @file lenient_json.h
 * Decoding of JSON documents that contain values of several writers. The JSON
 * library decodes a document as a whole or not at all: one value that is nested
 * too deeply, a number out of range, a NUL, an unpaired surrogate or a byte
 * that is not UTF-8 makes it unreadable. Here such a value is null, and the
 * others keep theirs.
 */
#ifndef PW_LENIENT_JSON_H
#define PW_LENIENT_JSON_H

#include "base/str.h"

#include <jansson.h>

/**
 * Decode a document. Of an array or object that cannot be decoded, the elements
 * are decoded one by one, and so on for a few levels of nesting.
 * @param unreadable receives the number of values that were replaced by null,
 * or whose key was dropped with them
 * @return NULL if the brackets and quotes do not form a document; otherwise the
 * caller releases it
 */
json_t *lenient_json_load(struct str text, size_t *unreadable);

#endif
