/**
 * @file script.h
 * What the commands of scripts share.
 */
#ifndef PW_SCRIPT_H
#define PW_SCRIPT_H

#include "base/rng.h"

/** Add to the script's output. */
void script_printf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** keys SIGNER SIGNER2 READER READER2: one frame, other keys. */
void do_keys(const char *arg, const char *body);
/** mangle SEED COUNT: frames with a byte changed or cut. */
void do_mangle(const char *arg, const char *body);
/** garbage SEED COUNT: frames that verify and mean nothing. */
void do_garbage(const char *arg, const char *body);

#endif
