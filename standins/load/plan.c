#include "plan.h"

#include "briarreel/error.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define MAX_CONNECTIONS 1024
#define MAX_BODY_BYTES (8U << 20)

static int set_parse_error(struct br_error *err, const char *file, const char *key,
			   const char *reason)
{
	return br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL, "%s: %s: %s", file, key, reason);
}

static int get_text(const char *file, const char *key, struct json_object *val, char *dst,
		    size_t bytes, struct br_error *err)
{
	if (!json_object_is_type(val, json_type_string) ||
	    !br_copy_text(dst, bytes, json_object_get_string(val)))
		return set_parse_error(err, file, key, "is not a string, or is too long");
	return 0;
}

static int get_number(const char *file, const char *key, struct json_object *val, uint32_t max,
		      uint32_t *dst, struct br_error *err)
{
	int64_t n = json_object_get_int64(val);

	if (!json_object_is_type(val, json_type_int) || n < 0 || n > max)
		return br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL,
				    "%s: %s: must be a whole number from 0 to %u", file, key, max);
	*dst = (uint32_t)n;
	return 0;
}

static int get_id_mode(const char *file, struct json_object *val, enum plan_id_mode *dst,
		       struct br_error *err)
{
	static const char *const names[] = {"none", "new", "same-on-retry"};

	for (int i = 0; i < 3; i++) {
		if (!strcmp(json_object_get_string(val), names[i])) {
			*dst = (enum plan_id_mode)i;
			return 0;
		}
	}
	return set_parse_error(err, file, "request_id", "must be none, new or same-on-retry");
}

static int read_key(const char *file, const char *key, struct json_object *val,
		    struct plan_stream *s, struct br_error *err)
{
	if (!strcmp(key, "name"))
		return get_text(file, key, val, s->name, sizeof(s->name), err);
	if (!strcmp(key, "key"))
		return get_text(file, key, val, s->key, sizeof(s->key), err);
	if (!strcmp(key, "method"))
		return get_text(file, key, val, s->method, sizeof(s->method), err);
	if (!strcmp(key, "path"))
		return get_text(file, key, val, s->path, sizeof(s->path), err);
	if (!strcmp(key, "body_bytes"))
		return get_number(file, key, val, MAX_BODY_BYTES, &s->body_bytes, err);
	if (!strcmp(key, "deadline_ms"))
		return get_number(file, key, val, 120000, &s->deadline_ms, err);
	if (!strcmp(key, "connections"))
		return get_number(file, key, val, MAX_CONNECTIONS, &s->connections, err);
	if (!strcmp(key, "retries"))
		return get_number(file, key, val, 1000, &s->retries, err);
	if (!strcmp(key, "backoff_ms"))
		return get_number(file, key, val, 60000, &s->backoff_ms, err);
	if (!strcmp(key, "request_id"))
		return get_id_mode(file, val, &s->id_mode, err);
	if (strcmp(key, "rate_per_s") != 0)
		return set_parse_error(err, file, key, "unknown key of a stream");
	s->rate_per_s = json_object_get_double(val);
	return s->rate_per_s >= 0 && s->rate_per_s <= 1e6
		       ? 0
		       : set_parse_error(err, file, key, "must be from 0 to 1000000");
}

static int read_stream(const char *file, struct json_object *obj, const struct plan *defaults,
		       struct plan_stream *s, struct br_error *err)
{
	const char *name = json_object_get_string(json_object_object_get(obj, "name"));
	struct json_object_iterator it = json_object_iter_begin(obj);
	struct json_object_iterator end = json_object_iter_end(obj);

	*s = (struct plan_stream){.method = "GET",
				  .path = "/",
				  .rate_per_s = 1,
				  .deadline_ms = 1000,
				  .connections = 16,
				  .id_mode = PLAN_ID_NEW};
	for (uint32_t i = 0; i < defaults->n_streams; i++)
		if (name && !strcmp(defaults->streams[i].name, name))
			*s = defaults->streams[i];
	for (; !json_object_iter_equal(&it, &end); json_object_iter_next(&it)) {
		int ret = read_key(file, json_object_iter_peek_name(&it),
				   json_object_iter_peek_value(&it), s, err);

		if (ret)
			return ret;
	}
	if (!s->name[0] || !s->connections || !s->deadline_ms || s->path[0] != '/')
		return set_parse_error(err, file, s->name,
				       "a stream needs a name, a path that begins with /, "
				       "connections and deadline_ms");
	return 0;
}

static int read_streams(const char *file, struct json_object *list, const struct plan *defaults,
			struct plan_stream *out, uint32_t *n, struct br_error *err)
{
	size_t len;

	if (!json_object_is_type(list, json_type_array))
		return set_parse_error(err, file, "streams", "must be an array");
	len = json_object_array_length(list);
	if (len > PLAN_MAX_STREAMS)
		return set_parse_error(err, file, "streams", "must hold at most 16 streams");
	for (size_t i = 0; i < len; i++) {
		int ret = read_stream(file, json_object_array_get_idx(list, i), defaults, &out[i],
				      err);

		if (ret)
			return ret;
	}
	*n = (uint32_t)len;
	return 0;
}

static int read_phase(const char *file, struct json_object *obj, const struct plan *plan,
		      struct plan_phase *p, struct br_error *err)
{
	struct json_object_iterator it = json_object_iter_begin(obj);
	struct json_object_iterator end = json_object_iter_end(obj);

	memcpy(p->streams, plan->streams, sizeof(p->streams));
	p->n_streams = plan->n_streams;
	for (; !json_object_iter_equal(&it, &end); json_object_iter_next(&it)) {
		const char *key = json_object_iter_peek_name(&it);
		struct json_object *val = json_object_iter_peek_value(&it);
		int ret;

		if (!strcmp(key, "name"))
			ret = get_text(file, key, val, p->name, sizeof(p->name), err);
		else if (!strcmp(key, "duration_ms"))
			ret = get_number(file, key, val, 24 * 3600 * 1000, &p->duration_ms, err);
		else if (!strcmp(key, "streams"))
			ret = read_streams(file, val, plan, p->streams, &p->n_streams, err);
		else
			ret = set_parse_error(err, file, key, "unknown key of a phase");
		if (ret)
			return ret;
	}
	return p->name[0] ? 0 : set_parse_error(err, file, "phases", "a phase needs a name");
}

static int read_phases(const char *file, struct json_object *list, struct plan *plan,
		       struct br_error *err)
{
	size_t len =
		json_object_is_type(list, json_type_array) ? json_object_array_length(list) : 0;

	if (!len || len > PLAN_MAX_PHASES)
		return set_parse_error(err, file, "phases", "must be an array of 1 to 32 phases");
	for (size_t i = 0; i < len; i++) {
		int ret = read_phase(file, json_object_array_get_idx(list, i), plan,
				     &plan->phases[i], err);

		if (ret)
			return ret;
	}
	plan->n_phases = (uint32_t)len;
	return 0;
}

int plan_read(const char *file, struct plan *plan, struct br_error *err)
{
	struct json_object *root = json_object_from_file(file);
	struct json_object *streams;
	int ret = 0;

	memset(plan, 0, sizeof(*plan));
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return set_parse_error(err, file, "plan",
				       json_util_get_last_err() ? json_util_get_last_err()
								: "not a JSON object");
	}
	if (json_object_object_get_ex(root, "streams", &streams))
		ret = read_streams(file, streams, plan, plan->streams, &plan->n_streams, err);
	if (!ret)
		ret = read_phases(file, json_object_object_get(root, "phases"), plan, err);
	json_object_put(root);
	return ret;
}
