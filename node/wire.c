#include "node/wire.h"

#include "common/msgpack_check.h"

#include <errno.h>
#include <string.h>

void wire_out_init(struct wire_out *out, enum wire_type type, uint32_t n_args)
{
	msgpack_sbuffer_init(&out->buf);
	msgpack_packer_init(&out->pk, &out->buf, msgpack_sbuffer_write);
	wire_put_array(out, n_args + 2);
	wire_put_u64(out, WIRE_VERSION);
	wire_put_u64(out, type);
}

void wire_out_free(struct wire_out *out)
{
	msgpack_sbuffer_destroy(&out->buf);
}

int wire_in_init(struct wire_in *in, const void *data, size_t len)
{
	const msgpack_object *items;
	uint64_t version;
	uint64_t type;
	uint32_t n;
	size_t off = 0;

	msgpack_unpacked_init(&in->unpacked);
	if (!msgpack_is_complete(data, len) ||
	    msgpack_unpack_next(&in->unpacked, data, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    off != len || !wire_get_array(&in->unpacked.data, &items, &n) || n < 2 ||
	    !wire_get_u64(&items[0], &version) || !wire_get_u64(&items[1], &type)) {
		wire_in_free(in);
		return -EBADMSG;
	}
	if (version != WIRE_VERSION || type > WIRE_LEASE_RESULT) {
		wire_in_free(in);
		return -EPROTO;
	}
	in->type = (enum wire_type)type;
	in->args = items + 2;
	in->n_args = n - 2;
	return 0;
}

void wire_in_free(struct wire_in *in)
{
	msgpack_unpacked_destroy(&in->unpacked);
}

void wire_put_u64(struct wire_out *out, uint64_t v)
{
	msgpack_pack_uint64(&out->pk, v);
}

static void put_bytes(struct wire_out *out, const char *text, size_t len)
{
	msgpack_pack_str(&out->pk, len);
	msgpack_pack_str_body(&out->pk, text, len);
}

void wire_put_text(struct wire_out *out, const char *text)
{
	put_bytes(out, text, strlen(text));
}

void wire_put_array(struct wire_out *out, uint32_t n)
{
	msgpack_pack_array(&out->pk, n);
}

void wire_put_member(struct wire_out *out, const struct br_member *m)
{
	wire_put_array(out, 10);
	wire_put_text(out, m->id.text);
	wire_put_u64(out, m->incarnation);
	wire_put_u64(out, m->instance);
	wire_put_u64(out, m->state);
	wire_put_u64(out, m->flags);
	wire_put_u64(out, m->target_present);
	wire_put_text(out, m->zone);
	wire_put_text(out, m->service);
	wire_put_text(out, m->control_address);
	wire_put_text(out, m->caller_address);
}

void wire_put_slot(struct wire_out *out, uint32_t slot, const struct br_slot_holder *h)
{
	wire_put_array(out, 6);
	wire_put_u64(out, slot);
	wire_put_text(out, h->node.text);
	wire_put_u64(out, h->incarnation);
	wire_put_u64(out, h->epoch);
	wire_put_text(out, h->zone);
	wire_put_u64(out, h->released);
}

void wire_put_change(struct wire_out *out, const struct br_config_change *c)
{
	wire_put_array(out, 3);
	wire_put_text(out, c->key);
	wire_put_u64(out, c->mod_rev);
	if (c->value)
		put_bytes(out, c->value, c->len);
	else
		msgpack_pack_nil(&out->pk);
}

void wire_put_page(struct wire_out *out, const struct br_config_page *p)
{
	wire_put_array(out, 8);
	wire_put_u64(out, p->transfer_id);
	wire_put_u64(out, p->snapshot);
	wire_put_u64(out, p->from_rev);
	wire_put_u64(out, p->to_rev);
	wire_put_u64(out, p->index);
	wire_put_u64(out, p->n_changes);
	wire_put_u64(out, p->last);
	wire_put_text(out, p->last_key);
}

void wire_put_lease_req(struct wire_out *out, const struct br_lease_request *r)
{
	wire_put_array(out, 11);
	wire_put_text(out, r->account);
	wire_put_text(out, r->node.text);
	wire_put_u64(out, r->incarnation);
	wire_put_u64(out, r->holder_incarnation);
	wire_put_u64(out, r->seq);
	wire_put_u64(out, r->retained_rate_mtok_s);
	wire_put_u64(out, r->retained_burst_ntok);
	wire_put_u64(out, r->requested_rate_mtok_s);
	wire_put_u64(out, r->requested_burst_ntok);
	wire_put_u64(out, r->requested_ntok);
	wire_put_u64(out, r->returned_ntok);
}

void wire_put_lease_rep(struct wire_out *out, const struct br_lease_reply *r)
{
	wire_put_array(out, 9);
	wire_put_text(out, r->account);
	wire_put_u64(out, r->holder_incarnation);
	wire_put_u64(out, r->seq);
	wire_put_u64(out, r->rate_mtok_s);
	wire_put_u64(out, r->burst_ntok);
	wire_put_u64(out, r->granted_ntok);
	wire_put_u64(out, r->term_us);
	wire_put_u64(out, r->contended);
	wire_put_u64(out, r->exhausted);
}

bool wire_get_u64(const msgpack_object *o, uint64_t *v)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*v = o->via.u64;
	return true;
}

static bool get_u32(const msgpack_object *o, uint32_t *v)
{
	uint64_t n;

	if (!wire_get_u64(o, &n) || n > UINT32_MAX)
		return false;
	*v = (uint32_t)n;
	return true;
}

static bool get_bool(const msgpack_object *o, bool *v)
{
	uint64_t n;

	if (!wire_get_u64(o, &n) || n > 1)
		return false;
	*v = n == 1;
	return true;
}

bool wire_get_text(const msgpack_object *o, char *text, size_t bytes)
{
	uint32_t size = o->type == MSGPACK_OBJECT_STR ? o->via.str.size : 0;

	/* An empty text has no bytes to point to. */
	if (o->type != MSGPACK_OBJECT_STR || size >= bytes ||
	    (size && memchr(o->via.str.ptr, '\0', size)))
		return false;
	if (size)
		memcpy(text, o->via.str.ptr, size);
	text[size] = '\0';
	return true;
}

bool wire_get_array(const msgpack_object *o, const msgpack_object **items, uint32_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	*items = o->via.array.ptr;
	*n = o->via.array.size;
	return true;
}

/* Returns the items of an array of exactly n elements, or NULL. */
static const msgpack_object *get_tuple(const msgpack_object *o, uint32_t n)
{
	const msgpack_object *items;
	uint32_t size;

	return wire_get_array(o, &items, &size) && size == n ? items : NULL;
}

bool wire_get_member(const msgpack_object *o, struct br_member *m)
{
	const msgpack_object *v = get_tuple(o, 10);
	uint64_t state = 0;

	memset(m, 0, sizeof(*m));
	if (!v || !wire_get_u64(&v[3], &state) || state >= BR_MEMBER_STATES)
		return false;
	m->state = (enum br_member_state)state;
	return wire_get_text(&v[0], m->id.text, sizeof(m->id.text)) &&
	       wire_get_u64(&v[1], &m->incarnation) && wire_get_u64(&v[2], &m->instance) &&
	       get_u32(&v[4], &m->flags) && get_bool(&v[5], &m->target_present) &&
	       wire_get_text(&v[6], m->zone, sizeof(m->zone)) &&
	       wire_get_text(&v[7], m->service, sizeof(m->service)) &&
	       wire_get_text(&v[8], m->control_address, sizeof(m->control_address)) &&
	       wire_get_text(&v[9], m->caller_address, sizeof(m->caller_address));
}

bool wire_get_slot(const msgpack_object *o, uint32_t *slot, struct br_slot_holder *h)
{
	const msgpack_object *v = get_tuple(o, 6);

	memset(h, 0, sizeof(*h));
	return v && get_u32(&v[0], slot) && *slot < BR_SLOTS_MAX &&
	       wire_get_text(&v[1], h->node.text, sizeof(h->node.text)) &&
	       wire_get_u64(&v[2], &h->incarnation) && wire_get_u64(&v[3], &h->epoch) &&
	       wire_get_text(&v[4], h->zone, sizeof(h->zone)) && get_bool(&v[5], &h->released);
}

bool wire_get_change(const msgpack_object *o, struct br_config_change *c,
		     char key_buf[BR_CONFIG_KEY_BYTES])
{
	const msgpack_object *v = get_tuple(o, 3);

	memset(c, 0, sizeof(*c));
	if (!v || !wire_get_text(&v[0], key_buf, BR_CONFIG_KEY_BYTES) ||
	    !wire_get_u64(&v[1], &c->mod_rev))
		return false;
	c->key = key_buf;
	if (v[2].type == MSGPACK_OBJECT_NIL)
		return true;
	if (v[2].type != MSGPACK_OBJECT_STR)
		return false;
	c->value = v[2].via.str.ptr;
	c->len = v[2].via.str.size;
	return true;
}

bool wire_get_page(const msgpack_object *o, struct br_config_page *p)
{
	const msgpack_object *v = get_tuple(o, 8);

	memset(p, 0, sizeof(*p));
	return v && wire_get_u64(&v[0], &p->transfer_id) && get_bool(&v[1], &p->snapshot) &&
	       wire_get_u64(&v[2], &p->from_rev) && wire_get_u64(&v[3], &p->to_rev) &&
	       get_u32(&v[4], &p->index) && get_u32(&v[5], &p->n_changes) &&
	       get_bool(&v[6], &p->last) && wire_get_text(&v[7], p->last_key, sizeof(p->last_key));
}

bool wire_get_lease_req(const msgpack_object *o, struct br_lease_request *r)
{
	const msgpack_object *v = get_tuple(o, 11);

	memset(r, 0, sizeof(*r));
	return v && wire_get_text(&v[0], r->account, sizeof(r->account)) &&
	       wire_get_text(&v[1], r->node.text, sizeof(r->node.text)) &&
	       wire_get_u64(&v[2], &r->incarnation) &&
	       wire_get_u64(&v[3], &r->holder_incarnation) && wire_get_u64(&v[4], &r->seq) &&
	       wire_get_u64(&v[5], &r->retained_rate_mtok_s) &&
	       wire_get_u64(&v[6], &r->retained_burst_ntok) &&
	       wire_get_u64(&v[7], &r->requested_rate_mtok_s) &&
	       wire_get_u64(&v[8], &r->requested_burst_ntok) &&
	       wire_get_u64(&v[9], &r->requested_ntok) && wire_get_u64(&v[10], &r->returned_ntok);
}

bool wire_get_lease_rep(const msgpack_object *o, struct br_lease_reply *r)
{
	const msgpack_object *v = get_tuple(o, 9);

	memset(r, 0, sizeof(*r));
	return v && wire_get_text(&v[0], r->account, sizeof(r->account)) &&
	       wire_get_u64(&v[1], &r->holder_incarnation) && wire_get_u64(&v[2], &r->seq) &&
	       wire_get_u64(&v[3], &r->rate_mtok_s) && wire_get_u64(&v[4], &r->burst_ntok) &&
	       wire_get_u64(&v[5], &r->granted_ntok) && wire_get_u64(&v[6], &r->term_us) &&
	       get_bool(&v[7], &r->contended) && get_bool(&v[8], &r->exhausted);
}
