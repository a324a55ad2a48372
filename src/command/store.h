/**
 * @file store.h
 * Blocking access to the configuration object, for operators' commands.
 */
#ifndef PW_STORE_H
#define PW_STORE_H

#include "codec/settings.h"
#include "decide/submission.h"

/** Read the object and its ETag; after SUB_OK the caller frees obj->text. */
enum sub_result store_read(
    const struct settings *set, struct sub_object *obj, char etag[SUB_ID_MAX]);
/** Write the object if its ETag is still etag, or, with an empty etag, if there
 * is no object. */
enum sub_result store_write(
    const struct settings *set, const struct sub_object *obj, const char *etag);

#endif
