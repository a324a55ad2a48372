/**
 * @file status.h
 * Result of an operation: a code and a message.
 */
#ifndef PW_STATUS_H
#define PW_STATUS_H

#include <stddef.h>

/** Result codes. */
enum status_code {
	STATUS_OK = 0,
	STATUS_INVALID,	    /**< the input is wrong */
	STATUS_CONFLICT,    /**< another writer was first */
	STATUS_UNAVAILABLE, /**< the peer is unavailable; not done */
	STATUS_UNKNOWN,	    /**< may or may not have been done */
	STATUS_DENIED,	    /**< not allowed, or not authenticated */
};

/** Size of the message buffer in bytes, with the NUL. */
#define STATUS_MESSAGE_MAX 512

/** A result. */
struct status {
	enum status_code code;
	char message[STATUS_MESSAGE_MAX]; /**< empty when code is STATUS_OK */
};

/** Set code and message. If a code was set before, the message is appended to
 * the earlier one as a new line; it is cut at STATUS_MESSAGE_MAX. */
void status_set(struct status *st, enum status_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
