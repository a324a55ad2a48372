#include "dgram.h"

#include "codec/coap.h"

#include <coap3/coap.h>
#include <string.h>

#define OPTION_ECHO 252

struct dgram
dgram_make(int type, int code, uint16_t mid)
{
	return (struct dgram){.type = type,
	    .code = code,
	    .mid = mid,
	    .observe = -1,
	    .block2 = -1,
	    .deadline_ms = -1};
}

static size_t
put_option(uint8_t *at, size_t cap, uint16_t *last, uint16_t number,
    const void *value, size_t len)
{
	size_t n =
	    coap_opt_encode(at, cap, (uint16_t)(number - *last), value, len);

	*last = number;
	return n;
}

static size_t
put_uint(uint8_t *at, size_t cap, uint16_t *last, uint16_t number, uint64_t v)
{
	uint8_t bytes[8];
	size_t len = coap_encode_var_safe8(bytes, sizeof(bytes), v);

	return put_option(at, cap, last, number, bytes, len);
}

size_t
dgram_write(const struct dgram *d, uint8_t *buf, size_t cap)
{
	size_t n = 4;
	uint16_t last = 0;

	buf[0] = (uint8_t)(0x40 | d->type << 4 | (int)d->token_len);
	buf[1] = (uint8_t)d->code;
	buf[2] = (uint8_t)(d->mid >> 8);
	buf[3] = (uint8_t)d->mid;
	memcpy(buf + n, d->token, d->token_len);
	n += d->token_len;
	if (d->etag != 0)
		n += put_option(buf + n, cap - n, &last, 4, &d->etag, 8);
	if (d->observe >= 0)
		n += put_uint(buf + n, cap - n, &last, 6, (uint64_t)d->observe);
	if (d->path != NULL)
		n += put_option(
		    buf + n, cap - n, &last, 11, d->path, strlen(d->path));
	if (d->block2 >= 0)
		n += put_uint(buf + n, cap - n, &last, 23, (uint64_t)d->block2);
	if (d->echo_len > 0)
		n += put_option(
		    buf + n, cap - n, &last, OPTION_ECHO, d->echo, d->echo_len);
	if (d->payload[0] != '\0') {
		buf[n++] = 0xff;
		memcpy(buf + n, d->payload, strlen(d->payload));
		n += strlen(d->payload);
	}
	return n;
}

static void
read_option(struct dgram *out, const coap_opt_iterator_t *it, coap_opt_t *o)
{
	const uint8_t *v = coap_opt_value(o);
	size_t len = coap_opt_length(o);

	if (it->number == 4 && len == sizeof(out->etag))
		memcpy(&out->etag, v, len);
	else if (it->number == 6)
		out->observe = coap_decode_var_bytes(v, len);
	else if (it->number == 11)
		str_copy(out->read_path, sizeof(out->read_path),
		    (struct str){(const char *)v, len});
	else if (it->number == 23)
		out->block2 = coap_decode_var_bytes(v, len);
	else if (it->number == COAP_DEADLINE_OPTION)
		out->deadline_ms = coap_decode_var_bytes(v, len);
	else if (it->number == OPTION_ECHO && len <= sizeof(out->echo)) {
		memcpy(out->echo, v, len);
		out->echo_len = len;
	}
}

bool
dgram_read(struct str bytes, struct dgram *out)
{
	coap_pdu_t *pdu = coap_pdu_init(0, 0, 0, bytes.len);
	coap_opt_iterator_t it;
	const uint8_t *data = NULL;
	size_t len = 0;
	coap_opt_t *o;
	coap_bin_const_t token;

	*out = dgram_make(0, 0, 0);
	if (coap_pdu_parse(COAP_PROTO_UDP, (const uint8_t *)bytes.p, bytes.len,
		pdu) == 0) {
		coap_delete_pdu(pdu);
		return false;
	}
	out->type = coap_pdu_get_type(pdu);
	out->code = coap_pdu_get_code(pdu);
	out->mid = (uint16_t)coap_pdu_get_mid(pdu);
	token = coap_pdu_get_token(pdu);
	out->token_len = token.length <= 8 ? token.length : 8;
	memcpy(out->token, token.s, out->token_len);
	if (coap_option_iterator_init(pdu, &it, COAP_OPT_ALL) != NULL) {
		while ((o = coap_option_next(&it)) != NULL)
			read_option(out, &it, o);
	}
	coap_get_data(pdu, &len, &data);
	str_copy(out->payload, sizeof(out->payload),
	    (struct str){(const char *)data, len});
	coap_delete_pdu(pdu);
	return true;
}
