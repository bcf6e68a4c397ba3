/* Encoding of slot values, and the division of an account's rate over its slots. */
#include "briarreel/slot.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A slot value is a flat object; deeper nesting is never valid. */
#define MAX_JSON_DEPTH 4

int br_slot_value_encode(const struct br_slot_holder *h, char *out, size_t out_bytes)
{
	struct json_object *o = json_object_new_object();
	const char *text;
	size_t len;

	if (!o)
		return -ENOMEM;
	json_object_object_add(o, "node", json_object_new_string(h->node.text));
	json_object_object_add(o, "incarnation", json_object_new_uint64(h->incarnation));
	json_object_object_add(o, "epoch", json_object_new_uint64(h->epoch));
	json_object_object_add(o, "zone", json_object_new_string(h->zone));
	json_object_object_add(o, "released", json_object_new_boolean(h->released));
	text = json_object_to_json_string_length(o, JSON_C_TO_STRING_PLAIN, &len);
	if (!text || len >= out_bytes) {
		json_object_put(o);
		return text ? -ENOSPC : -ENOMEM;
	}
	memcpy(out, text, len + 1);
	json_object_put(o);
	return (int)len;
}

static bool get_text(struct json_object *o, const char *field, char *out, size_t out_bytes)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, field, &v) || !json_object_is_type(v, json_type_string))
		return false;
	/* An embedded NUL would make two different values compare equal. */
	if (strlen(json_object_get_string(v)) != (size_t)json_object_get_string_len(v))
		return false;
	return br_copy_text(out, out_bytes, json_object_get_string(v)) && out[0];
}

static bool get_u64(struct json_object *o, const char *field, uint64_t *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, field, &v) || !json_object_is_type(v, json_type_int))
		return false;
	/* json-c returns 0 for a negative number, so negative numbers are refused too. */
	*out = json_object_get_uint64(v);
	return *out > 0;
}

static bool get_bool(struct json_object *o, const char *field, bool *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, field, &v) || !json_object_is_type(v, json_type_boolean))
		return false;
	*out = json_object_get_boolean(v);
	return true;
}

int br_slot_value_decode(const char *text, size_t len, struct br_slot_holder *out)
{
	struct json_tokener *tok;
	struct json_object *o;
	bool ok;

	if (len >= BR_SLOT_VALUE_BYTES)
		return -EINVAL;
	tok = json_tokener_new_ex(MAX_JSON_DEPTH);
	if (!tok)
		return -EINVAL;
	o = json_tokener_parse_ex(tok, text, (int)len);
	ok = json_tokener_get_error(tok) == json_tokener_success &&
	     json_tokener_get_parse_end(tok) == len;
	json_tokener_free(tok);
	memset(out, 0, sizeof(*out));
	ok = ok && json_object_is_type(o, json_type_object) &&
	     get_text(o, "node", out->node.text, sizeof(out->node.text)) &&
	     get_u64(o, "incarnation", &out->incarnation) && get_u64(o, "epoch", &out->epoch) &&
	     get_text(o, "zone", out->zone, sizeof(out->zone)) &&
	     get_bool(o, "released", &out->released);
	json_object_put(o);
	return ok ? 0 : -EINVAL;
}

bool br_slot_set_has(const struct br_slot_set *set, uint32_t slot)
{
	return slot < BR_SLOTS_MAX && (set->bits[slot / 64] >> (slot % 64) & 1);
}

uint32_t br_slot_set_count(const struct br_slot_set *set)
{
	uint32_t n = 0;

	for (size_t i = 0; i < BR_SLOTS_MAX / 64; i++)
		n += (uint32_t)__builtin_popcountll(set->bits[i]);
	return n;
}

struct ranked_slot {
	uint64_t hash;
	uint32_t slot;
};

static int compare_ranked_slots(const void *a, const void *b)
{
	const struct ranked_slot *x = a;
	const struct ranked_slot *y = b;

	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return x->slot < y->slot ? -1 : x->slot > y->slot;
}

void br_slots_of_account(const char *account, uint64_t burst_tokens, uint32_t n_slots,
			 struct br_slot_set *out)
{
	struct ranked_slot r[BR_SLOTS_MAX];
	uint64_t n_wanted = burst_tokens / 2 ? burst_tokens / 2 : 1;

	memset(out, 0, sizeof(*out));
	if (n_slots > BR_SLOTS_MAX)
		n_slots = BR_SLOTS_MAX;
	for (uint32_t i = 0; i < n_slots; i++) {
		r[i].hash = br_hash_str(account, (i + 1) * 0x9e3779b97f4a7c15ULL);
		r[i].slot = i;
	}
	qsort(r, n_slots, sizeof(r[0]), compare_ranked_slots);
	for (uint32_t i = 0; i < n_slots && i < n_wanted; i++)
		out->bits[r[i].slot / 64] |= 1ULL << (r[i].slot % 64);
}

struct br_slot_part br_slot_part_of(const struct br_slot_set *set, uint32_t slot,
				    uint64_t rate_mtok_s, uint64_t burst_ntok)
{
	uint64_t n = br_slot_set_count(set);
	uint64_t index = 0;

	if (!br_slot_set_has(set, slot))
		return (struct br_slot_part){0};
	for (uint32_t i = 0; i < slot; i++)
		index += br_slot_set_has(set, i);
	return (struct br_slot_part){
		.rate_mtok_s = rate_mtok_s / n + (index < rate_mtok_s % n),
		.burst_ntok = burst_ntok / n + (index < burst_ntok % n),
	};
}
