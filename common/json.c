#include "common/json.h"

#include <limits.h>
#include <math.h>
#include <string.h>

struct json_object *json_parse_object(const char *bytes, size_t len)
{
	struct json_tokener *tok;
	struct json_object *o;

	if (!len || len > INT_MAX)
		return NULL;
	tok = json_tokener_new();
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

bool json_member_u64(struct json_object *o, const char *name, uint64_t *out)
{
	struct json_object *v = member(o, name, json_type_int);

	if (!v || json_object_get_int64(v) < 0)
		return false;
	*out = json_object_get_uint64(v);
	return true;
}

bool json_member_number(struct json_object *o, const char *name, double *out)
{
	struct json_object *v = member(o, name, json_type_double);

	if (!v)
		v = member(o, name, json_type_int);
	if (!v || !isfinite(json_object_get_double(v)))
		return false;
	*out = json_object_get_double(v);
	return true;
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
