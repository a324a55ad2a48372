/**
 * @file config_object.h
 * JSON format of the configuration object in the platform's store.
 */
#ifndef PW_CONFIG_OBJECT_H
#define PW_CONFIG_OBJECT_H

#include "decide/submission.h"

/**
 * Encode an object; the caller frees the result.
 * @return NULL when its text is not UTF-8
 */
char *config_object_encode(const struct sub_object *o);
/**
 * Decode an object; its text is a heap copy that the caller frees.
 * @return false when the object is malformed
 */
bool config_object_decode(struct str body, struct sub_object *out);

#endif
