/**
 * @file wire.h
 * Wire format of messages between balancers, agents and the operator's
 * commands.
 *
 * A frame is: version (1 byte), zero (1 byte), MAC (16 bytes) of the version
 * and the protobuf message, and the protobuf message, an Envelope
 * (proto/wire.proto). A UDP datagram is one frame. Over TCP each frame follows
 * its length, 4 bytes, big-endian.
 */
#ifndef PW_WIRE_H
#define PW_WIRE_H

#include "base/counters.h"
#include "codec/keyring.h"
#include "decide/message.h"

/** Largest frame over UDP in bytes. */
#define WIRE_UDP_MAX 2048
/** Largest frame over TCP in bytes. */
#define WIRE_TCP_MAX 1048576
/** Bytes before the protobuf message. */
#define WIRE_HEADER_LEN 18
/** Bytes of memory for decoding one datagram. */
#define WIRE_ARENA_MAX 16384

/** Memory for the bytes of a decoded message. */
struct wire_arena {
	_Alignas(16) uint8_t mem[WIRE_ARENA_MAX];
	size_t used;
};

/** Result of decoding a frame. */
enum wire_result {
	WIRE_OK,
	WIRE_BAD_AUTH, /**< no key made the MAC */
	WIRE_BAD_KIND, /**< unknown version or kind of message */
	WIRE_MALFORMED
};

/** Kinds of calls over TCP. */
enum call_kind {
	CALL_CONFIG_GET = 1, /**< get the configuration if newer than version */
	CALL_CONFIG_PUSH,    /**< send a newly accepted configuration */
	CALL_STATUS,
	CALL_COUNTERS,
};

/** A call over TCP. */
struct call {
	enum call_kind kind;
	uint64_t version;
	struct str text;
};

/** The reply to a call. */
struct call_reply {
	bool ok;
	uint64_t version;
	struct str text; /**< full text, or the changed middle of a delta */
	struct str error;
	uint64_t base;	 /**< version a delta applies to; 0: full text */
	uint32_t prefix; /**< delta: bytes kept from the start of base */
	uint32_t suffix; /**< delta: bytes kept from the end of base */
	uint64_t hash;	 /**< delta: hash of the resulting text */
};

/**
 * Encode a message as a frame.
 * @return bytes written, 0 when cap is too small
 */
size_t wire_encode(
    const struct keyring *k, const struct msg *m, uint8_t *buf, size_t cap);
/**
 * Decode a frame; strings in out point into the arena. The frame's bytes are
 * changed and restored while the MAC is checked.
 */
enum wire_result wire_decode(const struct keyring *k, struct str frame,
    struct wire_arena *arena, struct msg *out);
/** Counter to increment for a frame that was dropped with this result. */
enum counter wire_drop_counter(enum wire_result r);

/** Encode a call after its 4-byte length; the caller frees the result. */
uint8_t *wire_encode_call(
    const struct keyring *k, const struct call *c, size_t *len);
/** Encode a reply after its 4-byte length; the caller frees the result. */
uint8_t *wire_encode_reply(
    const struct keyring *k, const struct call_reply *r, size_t *len);
/** Decode a call; its text is a heap copy that the caller frees. */
enum wire_result wire_decode_call(
    const struct keyring *k, struct str frame, struct call *out);
/** Decode a reply; text and error are heap copies that the caller frees. */
enum wire_result wire_decode_reply(
    const struct keyring *k, struct str frame, struct call_reply *out);

#endif
