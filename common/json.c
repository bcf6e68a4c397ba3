#include "common/json.h"

#include <limits.h>
#include <math.h>
#include <string.h>

/* The first double that a uint64_t can't hold. */
#define U64_END 18446744073709551616.0
/* Members that nobody knows may be nested deeply; the memory for it is taken beforehand. */
#define DEPTH_MAX 256

struct json_object *json_parse_object(const char *bytes, size_t len)
{
	struct json_tokener *tok;
	struct json_object *o;

	if (!len || len > INT_MAX)
		return NULL;
	tok = json_tokener_new_ex(DEPTH_MAX);
	if (!tok)
		return NULL;
	o = json_tokener_parse_ex(tok, bytes, (int)len);
	if (json_tokener_get_error(tok) != json_tokener_success ||
	    !json_object_is_type(o, json_type_object)) {
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(tok);
	return o;
}

static struct json_object *member(struct json_object *o, const char *name, enum json_type type)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) || !json_object_is_type(v, type))
		return NULL;
	return v;
}

const char *json_text(struct json_object *v)
{
	const char *text =
		json_object_is_type(v, json_type_string) ? json_object_get_string(v) : NULL;

	return text && strlen(text) == (size_t)json_object_get_string_len(v) ? text : NULL;
}

const char *json_member_text(struct json_object *o, const char *name)
{
	return json_text(member(o, name, json_type_string));
}

/* JSON does not tell integers from other numbers; the parser does, by their spelling. */
static struct json_object *number_member(struct json_object *o, const char *name)
{
	struct json_object *v = member(o, name, json_type_int);

	return v ? v : member(o, name, json_type_double);
}

bool json_member_u64(struct json_object *o, const char *name, uint64_t *out)
{
	struct json_object *v = number_member(o, name);
	double n = v ? json_object_get_double(v) : -1;

	/* Not negated, so that it also fails for what is no number. */
	if (!(n >= 0))
		return false;
	if (json_object_is_type(v, json_type_int)) {
		*out = json_object_get_uint64(v);
		return true;
	}
	if (n >= U64_END || n != floor(n))
		return false;
	*out = (uint64_t)n;
	return true;
}

bool json_member_count(struct json_object *o, const char *name, uint64_t max, uint64_t *out)
{
	double n;

	if (json_member_u64(o, name, out)) {
		if (*out > max)
			*out = max;
		return true;
	}
	if (!json_member_amount(o, name, &n))
		return false;
	*out = n < U64_END && (uint64_t)n < max ? (uint64_t)n : max;
	return true;
}

bool json_member_amount(struct json_object *o, const char *name, double *out)
{
	struct json_object *v = number_member(o, name);
	double n = v ? json_object_get_double(v) : -1;

	if (!(n >= 0))
		return false;
	*out = n < JSON_AMOUNT_MAX ? n : JSON_AMOUNT_MAX;
	return true;
}

bool json_member_number(struct json_object *o, const char *name, double *out)
{
	struct json_object *v = number_member(o, name);

	if (!v || !isfinite(json_object_get_double(v)))
		return false;
	*out = json_object_get_double(v);
	return true;
}

bool json_member_exists(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) && v;
}

struct json_object *json_member_array(struct json_object *o, const char *name)
{
	return member(o, name, json_type_array);
}

bool json_member_bool(struct json_object *o, const char *name)
{
	struct json_object *v = member(o, name, json_type_boolean);

	return v && json_object_get_boolean(v);
}

struct json_object *json_member_object(struct json_object *o, const char *name)
{
	return member(o, name, json_type_object);
}
