/**
 * @file dgram.h
 * Encoding and decoding of the CoAP datagrams of simulated callers and targets.
 */
#ifndef PW_SOAK_DGRAM_H
#define PW_SOAK_DGRAM_H

#include "base/str.h"

/** A CoAP datagram, decoded or to be encoded. */
struct dgram {
	int type; /**< 0 CON, 1 NON, 2 ACK, 3 RST */
	int code;
	uint16_t mid;
	uint8_t token[8];
	size_t token_len;
	const char *path;    /**< Uri-Path to encode; NULL for none */
	char read_path[16];  /**< decoded Uri-Path */
	int64_t observe;     /**< -1 for none */
	int64_t block2;	     /**< raw option value, -1 for none */
	int64_t deadline_ms; /**< decoded only, -1 for none */
	uint64_t etag;	     /**< 0 for none */
	uint8_t echo[40];
	size_t echo_len;
	char payload[128];
};

/** Return a datagram without options and payload. */
struct dgram dgram_make(int type, int code, uint16_t mid);
/** Encode a datagram; returns its length in bytes. */
size_t dgram_write(const struct dgram *d, uint8_t *buf, size_t cap);
/** Decode a datagram; returns false if it is malformed. */
bool dgram_read(struct str bytes, struct dgram *out);

#endif
