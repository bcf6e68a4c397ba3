#include "briarreel/record.h"

#include "briarreel/error.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Records are an object with at most one level of arrays; deeper nesting is never valid. */
#define MAX_JSON_DEPTH 4
/* Largest number that read_number() accepts; nodes use at most BR_MEMBERS_MAX_INCARNATION. */
#define MAX_RETIRED_INCARNATION INT64_MAX
#define MAX_RATE_PER_S 1e9
/* Bytes of a kind, name, field or value that an error message shows. */
#define MAX_SHOWN_BYTES 32

enum field_type {
	FIELD_U32,
	FIELD_U64,
	FIELD_RATE,
	FIELD_BOOL,
	FIELD_NAME,
	FIELD_SHA256,
	FIELD_PREFIX,
	FIELD_METHODS,
	FIELD_REQUEST_ID_MODE,
};

/* A field of a kind; min, max and default_value apply to numbers and default_value also to bool. */
struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	uint32_t since_schema;
	bool required;
	uint64_t min;
	uint64_t max;
	uint64_t default_value;
};

struct kind {
	const char *name;
	uint32_t max_schema;
	const struct field *fields;
	size_t n_fields;
};

/* Context of one parse, for error messages. */
struct parse_context {
	const char *kind;
	const char *name;
	struct br_error *err;
};

#define RECORD_OFFSET(member) offsetof(struct br_record, member)
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const struct field account_fields[] = {
	{"rate_per_s", FIELD_RATE, RECORD_OFFSET(account.rate_mtok_s), 1, true, 0, 0, 0},
	{"burst", FIELD_U64, RECORD_OFFSET(account.burst), 1, true, 1, 1000000000, 0},
	{"priority", FIELD_U32, RECORD_OFFSET(account.priority), 2, false, 0, BR_PRIORITIES - 1, 0},
	{"weight", FIELD_U32, RECORD_OFFSET(account.weight), 2, false, 1, 1000, 1},
	{"offline_key_ttl_s", FIELD_U32, RECORD_OFFSET(account.offline_key_ttl_s), 2, false, 0,
	 31536000, 0},
};

static const struct field key_fields[] = {
	{"account", FIELD_NAME, RECORD_OFFSET(key.account), 1, true, 0, 0, 0},
	{"sha256", FIELD_SHA256, RECORD_OFFSET(key.sha256), 1, true, 0, 0, 0},
	{"withdrawn", FIELD_BOOL, RECORD_OFFSET(key.withdrawn), 2, false, 0, 0, 0},
};

/* identity must come after idempotent, since its default depends on it. */
static const struct field route_fields[] = {
	{"service", FIELD_NAME, RECORD_OFFSET(route.service), 1, true, 0, 0, 0},
	{"path_prefix", FIELD_PREFIX, RECORD_OFFSET(route.path_prefix), 1, true, 0, 0, 0},
	{"methods", FIELD_METHODS, RECORD_OFFSET(route.methods), 1, true, 0, 0, 0},
	{"idempotent", FIELD_BOOL, RECORD_OFFSET(route.idempotent), 1, true, 0, 0, 0},
	{"open", FIELD_BOOL, RECORD_OFFSET(route.open), 1, true, 0, 0, 0},
	{"priority", FIELD_U32, RECORD_OFFSET(route.priority), 2, false, 0, BR_PRIORITIES - 1, 4},
	{"retry_limit", FIELD_U32, RECORD_OFFSET(route.retry_limit), 2, false, 0, 8, 2},
	{"timeout_ms", FIELD_U32, RECORD_OFFSET(route.timeout_ms), 2, false, 1, 25000, 5000},
	{"identity", FIELD_REQUEST_ID_MODE, RECORD_OFFSET(route.request_id_required), 2, false, 0,
	 0, 0},
};

static const struct field zone_fields[] = {
	{"region", FIELD_NAME, RECORD_OFFSET(zone.region), 1, true, 0, 0, 0},
};

static const struct field mesh_fields[] = {
	{"share_slots", FIELD_U32, RECORD_OFFSET(mesh.share_slots), 1, false, 1, 256, 24},
	{"lease_term_ms", FIELD_U32, RECORD_OFFSET(mesh.lease_term_ms), 1, false, 500, 60000, 4000},
	{"autonomy_s", FIELD_U32, RECORD_OFFSET(mesh.autonomy_s), 1, false, 10, 86400, 3600},
	{"dedupe_window_s", FIELD_U32, RECORD_OFFSET(mesh.dedupe_window_s), 1, false, 5, 3600, 120},
};

static const struct field retired_fields[] = {
	{"incarnation", FIELD_U64, RECORD_OFFSET(retired.incarnation), 1, true, 1,
	 MAX_RETIRED_INCARNATION, 0},
};

static const struct kind kinds[BR_RECORD_KINDS] = {
	[BR_RECORD_ACCOUNT] = {"account", 2, account_fields, COUNT(account_fields)},
	[BR_RECORD_KEY] = {"key", 2, key_fields, COUNT(key_fields)},
	[BR_RECORD_ROUTE] = {"route", 2, route_fields, COUNT(route_fields)},
	[BR_RECORD_ZONE] = {"zone", 1, zone_fields, COUNT(zone_fields)},
	[BR_RECORD_MESH] = {"mesh", 1, mesh_fields, COUNT(mesh_fields)},
	[BR_RECORD_RETIRED] = {"retired", 1, retired_fields, COUNT(retired_fields)},
};

static const struct {
	const char *name;
	enum br_method bit;
} methods[] = {
	{"GET", BR_METHOD_GET},		{"HEAD", BR_METHOD_HEAD},     {"POST", BR_METHOD_POST},
	{"PUT", BR_METHOD_PUT},		{"DELETE", BR_METHOD_DELETE}, {"PATCH", BR_METHOD_PATCH},
	{"OPTIONS", BR_METHOD_OPTIONS},
};

const char *br_record_kind_name(enum br_record_kind kind)
{
	return (unsigned int)kind < BR_RECORD_KINDS ? kinds[kind].name : "unknown";
}

bool br_record_kind_parse(const char *text, enum br_record_kind *kind)
{
	for (size_t i = 0; i < BR_RECORD_KINDS; i++) {
		if (strcmp(kinds[i].name, text) != 0)
			continue;
		*kind = (enum br_record_kind)i;
		return true;
	}
	return false;
}

static bool name_valid(const char *text, size_t len)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789._:-";

	/* An embedded NUL ends the span early and is therefore refused too. */
	return len > 0 && len < BR_NAME_BYTES && strspn(text, allowed) == len;
}

bool br_record_name_valid(const char *text)
{
	return name_valid(text, strlen(text));
}

uint32_t br_method_parse(const char *text)
{
	for (size_t i = 0; i < COUNT(methods); i++)
		if (strcmp(methods[i].name, text) == 0)
			return methods[i].bit;
	return 0;
}

void br_mesh_defaults(struct br_mesh *mesh)
{
	struct br_record record = {.kind = BR_RECORD_MESH};

	for (size_t i = 0; i < COUNT(mesh_fields); i++) {
		uint32_t default_value = (uint32_t)mesh_fields[i].default_value;

		memcpy((char *)&record + mesh_fields[i].offset, &default_value,
		       sizeof(default_value));
	}
	*mesh = record.mesh;
}

/* Copies text for a message: truncated to MAX_SHOWN_BYTES, '?' for each non-printable byte. */
static const char *format_printable(const char *text, char out[MAX_SHOWN_BYTES + 4])
{
	size_t n = 0;

	for (; text[n] && n < MAX_SHOWN_BYTES; n++)
		out[n] = text[n] >= ' ' && text[n] <= '~' ? text[n] : '?';
	snprintf(out + n, 4, "%s", text[n] ? "..." : "");
	return out;
}

static int reject_field(const struct parse_context *p, const char *field, const char *value,
			const char *reason)
{
	char kind_out[MAX_SHOWN_BYTES + 4];
	char name_out[MAX_SHOWN_BYTES + 4];
	char field_out[MAX_SHOWN_BYTES + 4];
	char value_out[MAX_SHOWN_BYTES + 4];

	return br_error_set(p->err, -EINVAL, BR_STEP_VALIDATE, NULL, "%s/%s: %s: %s%s%s",
			    format_printable(p->kind, kind_out),
			    format_printable(p->name, name_out), format_printable(field, field_out),
			    value ? format_printable(value, value_out) : "", value ? ": " : "",
			    reason);
}

static int reject_value(const struct parse_context *p, const char *field, struct json_object *value,
			const char *reason)
{
	return reject_field(p, field, json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN),
			    reason);
}

static int read_number(const struct parse_context *p, const struct field *f,
		       struct json_object *value, void *out)
{
	int64_t n = json_object_get_int64(value);
	char reason[80];

	if (!json_object_is_type(value, json_type_int) || n < 0 || (uint64_t)n < f->min ||
	    (uint64_t)n > f->max) {
		snprintf(reason, sizeof(reason), "must be a whole number from %llu to %llu",
			 (unsigned long long)f->min, (unsigned long long)f->max);
		return reject_value(p, f->name, value, reason);
	}
	if (f->type == FIELD_U64)
		*(uint64_t *)out = (uint64_t)n;
	else
		*(uint32_t *)out = (uint32_t)n;
	return 0;
}

static int read_rate(const struct parse_context *p, const struct field *f,
		     struct json_object *value, uint64_t *out)
{
	double rate = json_object_get_double(value);
	bool is_number = json_object_is_type(value, json_type_int) ||
			 json_object_is_type(value, json_type_double);

	/* json-c accepts NaN; the condition is written such that NaN is refused. */
	if (!is_number || !(rate >= 0.001 && rate <= MAX_RATE_PER_S))
		return reject_value(p, f->name, value, "must be a number from 0.001 to 1e9");
	/* Rounded down to 0.001; the addend compensates for inexact fractions such as 0.29. */
	*out = (uint64_t)(rate * BR_MTOK_PER_TOKEN + 1e-6);
	return 0;
}

static int read_name(const struct parse_context *p, const struct field *f,
		     struct json_object *value, char *out)
{
	if (!json_object_is_type(value, json_type_string) ||
	    !name_valid(json_object_get_string(value), (size_t)json_object_get_string_len(value)))
		return reject_value(p, f->name, value, "must be a name [a-z0-9._:-]{1,63}");
	br_copy_text(out, BR_NAME_BYTES, json_object_get_string(value));
	return 0;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static int read_sha256(const struct parse_context *p, const struct field *f,
		       struct json_object *value, uint8_t *out)
{
	static const char reason[] = "must be 64 hexadecimal digits";
	const char *text;

	if (!json_object_is_type(value, json_type_string) ||
	    json_object_get_string_len(value) != 2 * BR_SHA256_BYTES)
		return reject_value(p, f->name, value, reason);
	text = json_object_get_string(value);
	for (size_t i = 0; i < BR_SHA256_BYTES; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return reject_value(p, f->name, value, reason);
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

/* True if text has an empty, "." or ".." segment, which no request path matches as intended. */
static bool has_invalid_segment(const char *text)
{
	while (*text == '/') {
		size_t len = strcspn(++text, "/");

		if (!len || (len == 1 && text[0] == '.') ||
		    (len == 2 && text[0] == '.' && text[1] == '.'))
			return true;
		text += len;
	}
	return false;
}

static int read_prefix(const struct parse_context *p, const struct field *f,
		       struct json_object *value, char *out)
{
	const char *text = json_object_get_string(value);
	size_t len = (size_t)json_object_get_string_len(value);

	if (!json_object_is_type(value, json_type_string) || len >= BR_PATH_PREFIX_BYTES ||
	    text[0] != '/')
		return reject_value(p, f->name, value, "must start with / and be below 256 bytes");
	for (size_t i = 0; i < len; i++)
		if (text[i] <= ' ' || text[i] > '~' || strchr("?#%", text[i]))
			return reject_value(p, f->name, value,
					    "must be printable ASCII without space, ?, # and %");
	if (len > 1 && has_invalid_segment(text))
		return reject_value(p, f->name, value,
				    "must not end with / or have empty, . or .. segments");
	br_copy_text(out, BR_PATH_PREFIX_BYTES, text);
	return 0;
}

static int read_methods(const struct parse_context *p, const struct field *f,
			struct json_object *value, uint32_t *out)
{
	uint32_t bits = 0;

	if (!json_object_is_type(value, json_type_array) || !json_object_array_length(value))
		return reject_value(p, f->name, value, "must be a list of methods, not empty");
	for (size_t i = 0; i < json_object_array_length(value); i++) {
		struct json_object *item = json_object_array_get_idx(value, i);
		uint32_t bit = 0;

		if (json_object_is_type(item, json_type_string) &&
		    strlen(json_object_get_string(item)) ==
			    (size_t)json_object_get_string_len(item))
			bit = br_method_parse(json_object_get_string(item));
		if (!bit)
			return reject_value(p, f->name, item,
					    "must be GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS");
		if (bits & bit)
			return reject_value(p, f->name, item, "method is repeated");
		bits |= bit;
	}
	*out = bits;
	return 0;
}

static int read_request_id_mode(const struct parse_context *p, const struct field *f,
				struct json_object *value, bool *out)
{
	const char *text = json_object_get_string(value);

	if (json_object_is_type(value, json_type_string)) {
		*out = strcmp(text, "required") == 0;
		if (*out || strcmp(text, "optional") == 0)
			return 0;
	}
	return reject_value(p, f->name, value, "must be \"required\" or \"optional\"");
}

static int read_field(const struct parse_context *p, const struct field *f,
		      struct json_object *value, struct br_record *record)
{
	void *out = (char *)record + f->offset;

	switch (f->type) {
	case FIELD_U32:
	case FIELD_U64:
		return read_number(p, f, value, out);
	case FIELD_RATE:
		return read_rate(p, f, value, out);
	case FIELD_BOOL:
		if (!json_object_is_type(value, json_type_boolean))
			return reject_value(p, f->name, value, "must be true or false");
		*(bool *)out = json_object_get_boolean(value);
		return 0;
	case FIELD_NAME:
		return read_name(p, f, value, out);
	case FIELD_SHA256:
		return read_sha256(p, f, value, out);
	case FIELD_PREFIX:
		return read_prefix(p, f, value, out);
	case FIELD_METHODS:
		return read_methods(p, f, value, out);
	case FIELD_REQUEST_ID_MODE:
		return read_request_id_mode(p, f, value, out);
	}
	return -EINVAL;
}

static int apply_default(const struct parse_context *p, const struct field *f,
			 struct br_record *record)
{
	void *out = (char *)record + f->offset;

	if (f->required)
		return reject_field(p, f->name, NULL, "field is missing");
	if (f->type == FIELD_U32)
		*(uint32_t *)out = (uint32_t)f->default_value;
	else if (f->type == FIELD_REQUEST_ID_MODE)
		*(bool *)out = !record->route.idempotent;
	else
		*(bool *)out = f->default_value != 0;
	return 0;
}

static const struct field *find_field(const struct kind *kind, uint32_t schema, const char *name)
{
	for (size_t i = 0; i < kind->n_fields; i++)
		if (kind->fields[i].since_schema <= schema &&
		    strcmp(kind->fields[i].name, name) == 0)
			return &kind->fields[i];
	return NULL;
}

static int read_schema(const struct parse_context *p, const struct kind *kind,
		       struct json_object *root, struct br_record *record)
{
	struct json_object *value;
	int64_t schema;

	if (!json_object_object_get_ex(root, "schema", &value))
		return reject_field(p, "schema", NULL, "field is missing");
	schema = json_object_get_int64(value);
	if (!json_object_is_type(value, json_type_int) || schema < 1 || schema > kind->max_schema)
		return reject_value(p, "schema", value, "unknown schema version for this kind");
	record->schema = (uint32_t)schema;
	return 0;
}

static int read_write_id(const struct parse_context *p, struct json_object *root,
			 struct br_record *record)
{
	struct json_object *value;
	const char *text;
	size_t len;

	if (!json_object_object_get_ex(root, "write_id", &value))
		return 0;
	text = json_object_get_string(value);
	len = (size_t)json_object_get_string_len(value);
	if (!json_object_is_type(value, json_type_string) || !len || len >= BR_NAME_BYTES)
		return reject_value(p, "write_id", value, "must be a text of 1 to 63 bytes");
	for (size_t i = 0; i < len; i++)
		if (text[i] <= ' ' || text[i] > '~')
			return reject_value(p, "write_id", value, "must be printable ASCII");
	br_copy_text(record->write_id, sizeof(record->write_id), text);
	return 0;
}

static int read_object(const struct parse_context *p, const struct kind *kind,
		       struct json_object *root, struct br_record *record)
{
	int ret = read_schema(p, kind, root, record);

	if (ret)
		return ret;
	ret = read_write_id(p, root, record);
	if (ret)
		return ret;
	json_object_object_foreach(root, field_name, field_value)
	{
		if (strcmp(field_name, "schema") != 0 && strcmp(field_name, "write_id") != 0 &&
		    !find_field(kind, record->schema, field_name))
			return reject_value(p, field_name, field_value, "unknown field");
	}
	for (size_t i = 0; i < kind->n_fields; i++) {
		const struct field *f = &kind->fields[i];
		struct json_object *value;

		if (json_object_object_get_ex(root, f->name, &value))
			ret = read_field(p, f, value, record);
		else
			ret = apply_default(p, f, record);
		if (ret)
			return ret;
	}
	return 0;
}

/* Returns the position after the string that starts at text, or end if it is not closed. */
static const char *end_of_string(const char *text, const char *end)
{
	for (text++; text < end && *text != '"'; text++)
		if (*text == '\\')
			text++;
	return text < end ? text + 1 : end;
}

/*
 * Checks one field name of the outermost object, given with its quotes. json-c silently keeps the
 * last of several equal names and truncates names at an escaped NUL, so they are decoded and
 * compared here.
 */
static int check_field_name(const struct parse_context *p, const char *text, size_t len,
			    struct json_object *seen)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *key = tok ? json_tokener_parse_ex(tok, text, (int)len) : NULL;
	const char *name = key ? json_object_get_string(key) : "";
	int ret = 0;

	if (!key)
		ret = br_error_set(p->err, -ENOMEM, BR_STEP_PARSE, NULL, "out of memory");
	else if (strlen(name) != (size_t)json_object_get_string_len(key))
		ret = reject_field(p, name, NULL, "unknown field");
	else if (json_object_object_get_ex(seen, name, NULL))
		ret = reject_field(p, name, NULL, "field is repeated");
	else if (json_object_object_add(seen, name, NULL) < 0)
		ret = br_error_set(p->err, -ENOMEM, BR_STEP_PARSE, NULL, "out of memory");
	json_object_put(key);
	json_tokener_free(tok);
	return ret;
}

/*
 * Checks the field names of the outermost object of a text that json-c has parsed. json-c accepts
 * strings in single quotes even in strict mode; these are refused, as their names would not be
 * compared. A '/' outside strings starts a comment and is refused too.
 */
static int check_field_names(const struct parse_context *p, const char *text, size_t len)
{
	struct json_object *seen = json_object_new_object();
	const char *end = text + len;
	int depth = 0;
	int ret = 0;

	if (!seen)
		return br_error_set(p->err, -ENOMEM, BR_STEP_PARSE, NULL, "out of memory");
	for (const char *cursor = text; cursor < end && !ret;) {
		const char *start = cursor;

		if (*cursor == '{' || *cursor == '[')
			depth++;
		if (*cursor == '}' || *cursor == ']')
			depth--;
		if (*cursor == '\'' || *cursor == '/')
			ret = reject_field(p, "value", NULL, "must be one JSON object");
		if (*cursor != '"') {
			cursor++;
			continue;
		}
		cursor = end_of_string(cursor, end);
		while (cursor < end && strchr(" \t\r\n", *cursor))
			cursor++;
		if (cursor < end && *cursor == ':' && depth == 1)
			ret = check_field_name(p, start,
					       (size_t)(end_of_string(start, end) - start), seen);
	}
	json_object_put(seen);
	return ret;
}

static int parse_text(const struct parse_context *p, const struct kind *kind, const char *value,
		      size_t len, struct br_record *record)
{
	struct json_tokener *tok = json_tokener_new_ex(MAX_JSON_DEPTH);
	struct json_object *root = NULL;
	size_t used = 0;
	int ret;

	if (!tok)
		return br_error_set(p->err, -ENOMEM, BR_STEP_PARSE, NULL, "out of memory");
	json_tokener_set_flags(tok, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	if (len && !memchr(value, '\0', len))
		root = json_tokener_parse_ex(tok, value, (int)len);
	if (root)
		used = json_tokener_get_parse_end(tok);
	while (used < len && strchr(" \t\r\n", value[used]))
		used++;
	if (!root || used != len || !json_object_is_type(root, json_type_object))
		ret = reject_field(p, "value", NULL, "must be one JSON object");
	else
		ret = check_field_names(p, value, len);
	if (!ret)
		ret = read_object(p, kind, root, record);
	json_object_put(root);
	json_tokener_free(tok);
	return ret;
}

/* True if name is a node id, "ip:port", as the name of a `retired` record must be. */
static bool is_node_id(const char *name)
{
	const char *colon = strrchr(name, ':');
	char *end;
	long port;

	if (!colon || colon == name || strlen(name) >= BR_NODE_ID_BYTES || colon[1] < '0' ||
	    colon[1] > '9')
		return false;
	port = strtol(colon + 1, &end, 10);
	return !*end && port > 0 && port <= 65535;
}

static int check_name(const struct parse_context *p, enum br_record_kind kind)
{
	if (!br_record_name_valid(p->name))
		return reject_field(p, "name", p->name, "must match [a-z0-9._:-]{1,63}");
	if (kind == BR_RECORD_MESH && strcmp(p->name, "default") != 0)
		return reject_field(p, "name", p->name, "must be default");
	if (kind == BR_RECORD_RETIRED && !is_node_id(p->name))
		return reject_field(p, "name", p->name, "must be a node id, ip:port");
	return 0;
}

int br_record_parse(const char *kind, const char *name, const char *value, size_t len,
		    struct br_record *out, struct br_error *err)
{
	const struct parse_context p = {.kind = kind, .name = name, .err = err};
	struct br_record record = {0};
	char bytes[32];
	int ret;

	if (!br_record_kind_parse(kind, &record.kind))
		return reject_field(&p, "kind", kind, "unknown kind");
	ret = check_name(&p, record.kind);
	if (ret)
		return ret;
	if (len > BR_RECORD_MAX_BYTES) {
		snprintf(bytes, sizeof(bytes), "%zu bytes", len);
		reject_field(&p, "value", bytes, "must be at most 65536 bytes");
		if (err)
			err->code = -E2BIG;
		return -E2BIG;
	}
	br_copy_text(record.name, sizeof(record.name), name);
	ret = parse_text(&p, &kinds[record.kind], value, len, &record);
	if (!ret)
		*out = record;
	return ret;
}

int br_record_validate(const char *kind, const char *name, const char *json, struct br_error *err)
{
	struct br_record record;

	return br_record_parse(kind, name, json, strlen(json), &record, err);
}
