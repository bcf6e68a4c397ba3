#include "mesh/keeper_message.h"

#include "common/msgpack_check.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

/* Incremented when older nodes cannot read the messages. */
#define PROTOCOL_VERSION 4
/* Numbers in a message before its rows. */
#define HEADER_NUMBERS 9
#define ROW_NUMBERS 4

size_t keeper_message_write(const struct keeper_message *m, char *out, size_t out_bytes)
{
	const uint64_t head[HEADER_NUMBERS] = {
		PROTOCOL_VERSION,   m->type,	    m->node_hash,
		m->requested_us,    m->version,	    m->confirmation_age_ms,
		m->store_reachable, m->incarnation, m->view_changes};
	msgpack_sbuffer buf;
	msgpack_packer pk;
	size_t len;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, HEADER_NUMBERS + ROW_NUMBERS * m->n_rows);
	for (int i = 0; i < HEADER_NUMBERS; i++)
		msgpack_pack_uint64(&pk, head[i]);
	for (uint32_t i = 0; i < m->n_rows; i++) {
		msgpack_pack_uint64(&pk, m->rows[i].account_hash);
		msgpack_pack_uint64(&pk, m->rows[i].tokens);
		msgpack_pack_uint64(&pk, m->rows[i].debt.spent);
		msgpack_pack_uint64(&pk, m->rows[i].debt.charged);
	}
	len = buf.size <= out_bytes ? buf.size : 0;
	memcpy(out, buf.data, len);
	msgpack_sbuffer_destroy(&buf);
	return len;
}

static bool parse_numbers(const msgpack_object *o, uint64_t *out, uint32_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < HEADER_NUMBERS ||
	    o->via.array.size > HEADER_NUMBERS + ROW_NUMBERS * KEEPER_ROWS_MAX ||
	    (o->via.array.size - HEADER_NUMBERS) % ROW_NUMBERS)
		return false;
	*n = o->via.array.size;
	for (uint32_t i = 0; i < *n; i++) {
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		out[i] = o->via.array.ptr[i].via.u64;
	}
	return out[0] == PROTOCOL_VERSION && out[1] >= KEEPER_REQUEST && out[1] <= KEEPER_NOTICE;
}

static bool parse_row(const uint64_t *v, struct keeper_row *out)
{
	if (v[1] > UINT32_MAX || v[2] > UINT32_MAX || v[3] > UINT32_MAX)
		return false;
	*out = (struct keeper_row){
		.account_hash = v[0],
		.tokens = (uint32_t)v[1],
		.debt = {.spent = (uint32_t)v[2], .charged = (uint32_t)v[3]},
	};
	return true;
}

int keeper_message_read(const char *bytes, size_t len, struct keeper_message *out)
{
	uint64_t v[HEADER_NUMBERS + ROW_NUMBERS * KEEPER_ROWS_MAX];
	msgpack_unpacked unpacked;
	uint32_t n = 0;
	size_t off = 0;
	bool ok;

	if (!msgpack_is_complete(bytes, len))
		return -EBADMSG;
	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, bytes, len, &off) == MSGPACK_UNPACK_SUCCESS &&
	     off == len && parse_numbers(&unpacked.data, v, &n);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		return -EBADMSG;
	*out = (struct keeper_message){
		.type = (enum keeper_message_type)v[1],
		.node_hash = v[2],
		.requested_us = v[3],
		.version = v[4],
		.confirmation_age_ms = v[5],
		.store_reachable = v[6] != 0,
		.incarnation = (uint32_t)v[7],
		.view_changes = (uint32_t)v[8],
		.n_rows = (n - HEADER_NUMBERS) / ROW_NUMBERS,
	};
	for (uint32_t i = 0; i < out->n_rows; i++)
		if (!parse_row(v + HEADER_NUMBERS + ROW_NUMBERS * i, &out->rows[i]))
			return -EBADMSG;
	return 0;
}
