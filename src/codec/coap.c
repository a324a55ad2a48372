#include "codec/coap.h"

#include <coap3/coap.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#ifndef COAP_OPTION_ECHO
#define COAP_OPTION_ECHO 252
#endif

#define HEADER_LEN 4
#define TYPE_CON 0
#define TYPE_NON 1
#define TYPE_ACK 2
#define TYPE_RST 3
#define CODE(class, detail) ((class) << 5 | (detail))
#define CODE_UNAUTHORIZED CODE(4, 1)
#define CODE_TOO_LARGE CODE(4, 13)
#define CODE_UNAVAILABLE CODE(5, 3)
#define CODE_TIMEOUT CODE(5, 4)
#define METHOD_GET 1
#define METHOD_POST 2
#define METHOD_PUT 3
#define METHOD_DELETE 4
#define METHOD_FETCH 5
#define METHOD_PATCH 6
#define METHOD_IPATCH 7
#define PAYLOAD_MARKER 0xff

void
coap_codec_init(void)
{
	coap_set_log_level(LOG_EMERG);
}

static coap_pdu_t *
parse_pdu(struct str dgram)
{
	coap_pdu_t *pdu;

	if (dgram.len < HEADER_LEN || dgram.len > MSG_DATAGRAM_MAX)
		return NULL;
	pdu = coap_pdu_init(0, 0, 0, dgram.len);
	if (pdu == NULL)
		return NULL;
	if (coap_pdu_parse(COAP_PROTO_UDP, (const uint8_t *)dgram.p, dgram.len,
		pdu) == 0) {
		coap_delete_pdu(pdu);
		return NULL;
	}
	return pdu;
}

static bool
read_token(const coap_pdu_t *pdu, struct token *out)
{
	coap_bin_const_t t = coap_pdu_get_token(pdu);

	*out = (struct token){.len = (uint8_t)t.length};
	if (t.length > MSG_TOKEN_MAX)
		return false;
	if (t.length > 0)
		memcpy(out->bytes, t.s, t.length);
	return true;
}

static uint32_t
read_uint_option(const coap_opt_t *o)
{
	return coap_decode_var_bytes(coap_opt_value(o), coap_opt_length(o));
}

/*
 * A retry of a request must have the same digest. The Echo option and the
 * remaining time differ between attempts, so the digest does not cover them.
 */
static bool
is_in_digest(coap_option_num_t number)
{
	return number != COAP_OPTION_ECHO && number != COAP_DEADLINE_OPTION;
}

static void
read_request_option(
    struct request *out, coap_option_num_t number, const coap_opt_t *o)
{
	uint32_t len = coap_opt_length(o);

	switch (number) {
	case COAP_OPTION_ECHO:
		out->has_permit = len == PERMIT_LEN;
		if (out->has_permit)
			memcpy(out->permit, coap_opt_value(o), PERMIT_LEN);
		break;
	case COAP_OPTION_OBSERVE:
		out->observe_register = read_uint_option(o) == 0;
		out->observe_deregister = read_uint_option(o) == 1;
		break;
	case COAP_OPTION_BLOCK1:
		out->too_large = read_uint_option(o) >> 3 != 0;
		break;
	case COAP_OPTION_BLOCK2:
		out->later_block = read_uint_option(o) >> 4 != 0;
		break;
	case COAP_DEADLINE_OPTION:
		out->deadline_ms = read_uint_option(o);
		break;
	default:
		break;
	}
}

static void
read_options(coap_pdu_t *pdu, struct request *out)
{
	crypto_generichash_state hash;
	coap_opt_iterator_t it;
	coap_opt_t *o;
	const uint8_t *data = NULL;
	size_t len = 0;
	uint8_t code = (uint8_t)coap_pdu_get_code(pdu);

	crypto_generichash_init(&hash, NULL, 0, DIGEST_LEN);
	crypto_generichash_update(&hash, &code, 1);
	if (coap_option_iterator_init(pdu, &it, COAP_OPT_ALL) != NULL) {
		while ((o = coap_option_next(&it)) != NULL) {
			uint32_t head[2] = {it.number, coap_opt_length(o)};

			read_request_option(out, it.number, o);
			if (!is_in_digest(it.number))
				continue;
			crypto_generichash_update(
			    &hash, (uint8_t *)head, sizeof(head));
			crypto_generichash_update(
			    &hash, coap_opt_value(o), coap_opt_length(o));
		}
	}
	if (coap_get_data(pdu, &len, &data) != 0)
		crypto_generichash_update(&hash, data, len);
	crypto_generichash_final(&hash, out->digest, DIGEST_LEN);
}

static bool
read_kind(const coap_pdu_t *pdu, struct request *out)
{
	int code = coap_pdu_get_code(pdu);
	int type = coap_pdu_get_type(pdu);

	if (code == 0) {
		if (type == TYPE_NON)
			return false;
		out->kind = type == TYPE_ACK   ? REQUEST_ACK
			    : type == TYPE_RST ? REQUEST_RESET
					       : REQUEST_PROBE;
		return true;
	}
	if (code >> 5 != 0 || type > TYPE_NON)
		return false;
	switch (code) {
	case METHOD_POST:
	case METHOD_PATCH:
		out->kind = REQUEST_NON_IDEMPOTENT;
		return true;
	case METHOD_GET:
	case METHOD_PUT:
	case METHOD_DELETE:
	case METHOD_FETCH:
	case METHOD_IPATCH:
		out->kind = REQUEST_IDEMPOTENT;
		return true;
	default:
		return false;
	}
}

static bool
read_request(struct str dgram, struct request *out)
{
	coap_pdu_t *pdu = parse_pdu(dgram);
	bool ok;

	if (pdu == NULL)
		return false;
	*out = (struct request){0};
	out->mid = (uint16_t)coap_pdu_get_mid(pdu);
	out->confirmable = coap_pdu_get_type(pdu) == COAP_MESSAGE_CON;
	ok = read_kind(pdu, out) && read_token(pdu, &out->token);
	if (ok && coap_pdu_get_code(pdu) != 0)
		read_options(pdu, out);
	coap_delete_pdu(pdu);
	return ok;
}

static void
read_answer_options(coap_pdu_t *pdu, struct answer *out)
{
	const uint8_t *data = NULL;
	size_t len = 0;
	coap_opt_iterator_t it;
	coap_opt_t *o;

	coap_get_data(pdu, &len, &data);
	out->content_hash = XXH3_64bits_withSeed(
	    data, len, (XXH64_hash_t)coap_pdu_get_code(pdu));
	if (coap_option_iterator_init(pdu, &it, COAP_OPT_ALL) == NULL)
		return;
	while ((o = coap_option_next(&it)) != NULL) {
		if (it.number == COAP_OPTION_OBSERVE) {
			out->has_observe = true;
			out->observe = read_uint_option(o) & 0xffffff;
		} else if (it.number == COAP_OPTION_BLOCK2)
			out->more_blocks = (read_uint_option(o) & 8) != 0;
		else if (it.number == COAP_OPTION_ETAG)
			out->etag_hash =
			    XXH3_64bits(coap_opt_value(o), coap_opt_length(o));
	}
}

static bool
read_answer(struct str dgram, struct answer *out)
{
	coap_pdu_t *pdu = parse_pdu(dgram);
	struct token t;
	int code;

	if (pdu == NULL)
		return false;
	*out = (struct answer){0};
	code = coap_pdu_get_code(pdu);
	out->mid = (uint16_t)coap_pdu_get_mid(pdu);
	out->confirmable = coap_pdu_get_type(pdu) == COAP_MESSAGE_CON;
	out->kind = ANSWER_RESPONSE;
	if (code == 0)
		out->kind = coap_pdu_get_type(pdu) == COAP_MESSAGE_ACK
				? ANSWER_ACK
				: ANSWER_RESET;
	out->shed = code == CODE_UNAVAILABLE;
	out->success = code >> 5 == 2;
	if (read_token(pdu, &t) && t.len == sizeof(out->exchange_id))
		memcpy(&out->exchange_id, t.bytes, sizeof(out->exchange_id));
	read_answer_options(pdu, out);
	coap_delete_pdu(pdu);
	return code == 0 || code >> 5 >= 2;
}

/* ---- writing ---- */

/** Output buffer for a datagram. */
struct writer {
	uint8_t *buf;
	size_t cap;
	size_t len;
	uint16_t last; /**< number of the last option written */
	bool failed;   /**< the buffer was too small, or the input malformed */
};

static void
put_bytes(struct writer *w, const void *p, size_t len)
{
	if (w->failed || len > w->cap - w->len) {
		w->failed = true;
		return;
	}
	if (len > 0)
		memcpy(w->buf + w->len, p, len);
	w->len += len;
}

static void
put_header(struct writer *w, int type, int code, uint16_t mid,
    const uint8_t *token, size_t token_len)
{
	uint8_t head[HEADER_LEN] = {
	    (uint8_t)(0x40 | type << 4 | (int)token_len),
	    (uint8_t)code,
	    (uint8_t)(mid >> 8),
	    (uint8_t)mid,
	};

	put_bytes(w, head, sizeof(head));
	put_bytes(w, token, token_len);
}

static void
put_option(struct writer *w, uint16_t number, const uint8_t *value, size_t len)
{
	size_t n;

	if (w->failed)
		return;
	n = coap_opt_encode(w->buf + w->len, w->cap - w->len,
	    (uint16_t)(number - w->last), value, len);
	if (n == 0)
		w->failed = true;
	w->len += n;
	w->last = number;
}

static void
put_uint_option(struct writer *w, uint16_t number, uint32_t v)
{
	uint8_t bytes[4];
	size_t len = coap_encode_var_safe(bytes, sizeof(bytes), v);

	put_option(w, number, bytes, len);
}

static void
put_payload(struct writer *w, const void *p, size_t len)
{
	uint8_t marker = PAYLOAD_MARKER;

	if (len == 0)
		return;
	put_bytes(w, &marker, 1);
	put_bytes(w, p, len);
}

/* Returns the length of the datagram, 0 on failure. */
static size_t
written_len(const struct writer *w)
{
	return w->failed ? 0 : w->len;
}

/** Changes to the options of a message while it is copied. */
struct option_edits {
	bool set_observe; /**< add or replace Observe */
	uint32_t observe;
	bool drop_observe;
	bool drop_permit;  /**< drop Echo */
	bool set_deadline; /**< the original option is always dropped */
	uint32_t deadline_ms;
};

static void
copy_options(struct writer *w, coap_pdu_t *pdu, const struct option_edits *e)
{
	bool observe_pending = e->set_observe;
	coap_opt_iterator_t it;
	coap_opt_t *o;

	if (coap_option_iterator_init(pdu, &it, COAP_OPT_ALL) == NULL)
		it.bad = 1;
	while (!it.bad && (o = coap_option_next(&it)) != NULL) {
		if (observe_pending && it.number >= COAP_OPTION_OBSERVE) {
			put_uint_option(w, COAP_OPTION_OBSERVE, e->observe);
			observe_pending = false;
		}
		if (it.number == COAP_OPTION_OBSERVE &&
		    (e->set_observe || e->drop_observe))
			continue;
		if (it.number == COAP_OPTION_ECHO && e->drop_permit)
			continue;
		if (it.number == COAP_DEADLINE_OPTION)
			continue;
		put_option(w, it.number, coap_opt_value(o), coap_opt_length(o));
	}
	if (observe_pending)
		put_uint_option(w, COAP_OPTION_OBSERVE, e->observe);
	if (e->set_deadline && w->last < COAP_DEADLINE_OPTION)
		put_uint_option(w, COAP_DEADLINE_OPTION, e->deadline_ms);
}

static void
copy_body(struct writer *w, coap_pdu_t *pdu, const struct option_edits *e)
{
	const uint8_t *data = NULL;
	size_t len = 0;

	copy_options(w, pdu, e);
	if (coap_get_data(pdu, &len, &data) != 0)
		put_payload(w, data, len);
}

static int
message_type(enum reply_type t)
{
	if (t == REPLY_BY_ACK)
		return TYPE_ACK;
	return t == REPLY_BY_CON ? TYPE_CON : TYPE_NON;
}

static void
write_answer(struct writer *w, const struct reply *r)
{
	struct option_edits e = {.set_observe = r->observe,
	    .observe = r->observe_seq,
	    .drop_observe = !r->observe};
	coap_pdu_t *pdu = parse_pdu(r->answer);

	if (pdu == NULL) {
		w->failed = true;
		return;
	}
	put_header(w, message_type(r->type), coap_pdu_get_code(pdu), r->mid,
	    r->token.bytes, r->token.len);
	copy_body(w, pdu, &e);
	coap_delete_pdu(pdu);
}

static void
write_refusal(
    struct writer *w, const struct reply *r, int code, const char *prefix)
{
	put_header(w, message_type(r->type), code, r->mid, r->token.bytes,
	    r->token.len);
	put_bytes(w, &(uint8_t){PAYLOAD_MARKER}, 1);
	put_bytes(w, prefix, strlen(prefix));
	put_bytes(w, r->reason, strlen(r->reason));
}

static size_t
write_reply(const struct reply *r, uint8_t *buf, size_t cap)
{
	struct writer w = {.buf = buf, .cap = cap};

	switch (r->kind) {
	case REPLY_ANSWER:
		write_answer(&w, r);
		break;
	case REPLY_CHALLENGE:
		put_header(&w, message_type(r->type), CODE_UNAUTHORIZED, r->mid,
		    r->token.bytes, r->token.len);
		put_option(&w, COAP_OPTION_ECHO, r->permit, PERMIT_LEN);
		break;
	case REPLY_NOT_RUN:
		write_refusal(&w, r, CODE_UNAVAILABLE, "not run: ");
		break;
	case REPLY_OUTCOME_UNKNOWN:
		write_refusal(&w, r, CODE_TIMEOUT, "outcome unknown: ");
		break;
	case REPLY_REFUSED:
		write_refusal(&w, r, CODE_TOO_LARGE, "not run: ");
		break;
	case REPLY_RESET:
		put_header(&w, TYPE_RST, 0, r->mid, NULL, 0);
		break;
	}
	return written_len(&w);
}

static void
write_empty(struct writer *w, const struct target_message *o)
{
	int type = o->probe ? TYPE_CON : o->reset ? TYPE_RST : TYPE_ACK;

	put_header(w, type, 0, o->mid, NULL, 0);
}

static size_t
write_target_message(const struct target_message *o, uint8_t *buf, size_t cap)
{
	struct writer w = {.buf = buf, .cap = cap};
	struct option_edits e = {.drop_permit = true,
	    .set_observe = o->observe == OBSERVE_DEREGISTER,
	    .observe = 1,
	    .drop_observe = o->observe == OBSERVE_REMOVE,
	    .set_deadline = o->deadline_ms > 0,
	    .deadline_ms = o->deadline_ms};
	coap_pdu_t *pdu;

	if (o->empty) {
		write_empty(&w, o);
		return written_len(&w);
	}
	pdu = parse_pdu(o->request);
	if (pdu == NULL)
		return 0;
	put_header(&w, TYPE_CON, coap_pdu_get_code(pdu), o->mid,
	    (const uint8_t *)&o->exchange_id, sizeof(o->exchange_id));
	copy_body(&w, pdu, &e);
	coap_delete_pdu(pdu);
	return written_len(&w);
}

const struct proto coap_proto = {
    .read_request = read_request,
    .read_answer = read_answer,
    .write_reply = write_reply,
    .write_target_message = write_target_message,
};
