#include "ctl/store.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "ctl/input.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Size of a request target: path and query. */
#define TARGET_BYTES 1024
/* Attempts to read a record back after a lost answer. */
#define MAX_READ_BACKS 5

/* Appends text with percent-encoding at p; returns the end. */
static char *append_encoded(char *p, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (isalnum(c) || strchr("._-:", c))
			*p++ = (char)c;
		else
			p += sprintf(p, "%%%02X", c);
	}
	*p = '\0';
	return p;
}

/* Writes the path of a record to out; false if kind or name is empty or too long. */
static bool record_path(char *out, const char *kind, const char *name)
{
	char *p;

	if (!*kind || !*name || strlen(kind) >= BR_NAME_BYTES || strlen(name) >= BR_NAME_BYTES)
		return false;
	p = append_encoded(stpcpy(out, "/kv/" STORE_PREFIX), kind);
	*p++ = '/';
	append_encoded(p, name);
	return true;
}

static int exchange(const struct store *s, const char *method, const char *target, const char *body,
		    struct http_response *resp, struct br_error *err)
{
	struct http_request req = {.method = method,
				   .target = target,
				   .body = body,
				   .body_len = body ? strlen(body) : 0};

	return http_pool_exchange(s->pool, s->platform, &req, s->timeout_ms, resp, err);
}

static uint64_t response_rev(const struct http_response *resp)
{
	const char *text = http_response_header(resp, "X-Mod-Rev");

	return text ? strtoull(text, NULL, 10) : 0;
}

static int set_status_error(const struct store *s, int status, struct br_error *err)
{
	return br_error_set(err, -EIO, BR_STEP_STORE, s->platform,
			    "the platform answered with status %d", status);
}

int store_get(const struct store *s, const char *kind, const char *name, struct store_value *out,
	      struct br_error *err)
{
	char target[TARGET_BYTES];
	struct http_response resp = {0};
	int ret;

	*out = (struct store_value){0};
	if (!record_path(target, kind, name))
		return br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL,
				    "%s/%s: kind or name is empty or too long", kind, name);
	ret = exchange(s, "GET", target, NULL, &resp, err);
	if (ret)
		return ret;
	if (resp.status == 200) {
		out->value = strndup(resp.body ? resp.body : "", resp.body_len);
		out->mod_rev = response_rev(&resp);
		ret = out->value ? 0 : -ENOMEM;
	} else if (resp.status != 404) {
		ret = set_status_error(s, resp.status, err);
	}
	http_response_free(&resp);
	return ret;
}

static int visit_all(const struct http_response *resp, store_visit visit, void *arg)
{
	struct json_object *root = json_tokener_parse(resp->body ? resp->body : "");
	struct json_object *kvs;
	struct json_object *key;
	struct json_object *rev;
	struct json_object *value;
	int ret = -EBADMSG;

	if (json_object_object_get_ex(root, "kvs", &kvs) &&
	    json_object_is_type(kvs, json_type_array)) {
		ret = 0;
		for (size_t i = 0; i < json_object_array_length(kvs); i++) {
			struct json_object *item = json_object_array_get_idx(kvs, i);

			if (!json_object_object_get_ex(item, "key", &key) ||
			    !json_object_object_get_ex(item, "mod_rev", &rev) ||
			    !json_object_object_get_ex(item, "value", &value)) {
				ret = -EBADMSG;
				break;
			}
			visit(json_object_get_string(key), json_object_get_uint64(rev),
			      json_object_get_string(value), arg);
		}
	}
	json_object_put(root);
	return ret;
}

int store_list(const struct store *s, const char *kind, store_visit visit, void *arg,
	       struct br_error *err)
{
	char target[TARGET_BYTES] = "/range?prefix=" STORE_PREFIX;
	struct http_response resp = {0};
	int ret;

	if (kind && strlen(kind) >= BR_NAME_BYTES)
		return br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL, "kind is too long");
	if (kind)
		strcpy(append_encoded(target + strlen(target), kind), "/");
	ret = exchange(s, "GET", target, NULL, &resp, err);
	if (ret)
		return ret;
	if (resp.status != 200)
		ret = set_status_error(s, resp.status, err);
	else if (visit_all(&resp, visit, arg))
		ret = br_error_set(err, -EBADMSG, BR_STEP_PARSE, s->platform,
				   "the listing is malformed");
	http_response_free(&resp);
	return ret;
}

/*
 * Whether a record read after a lost answer shows that the write took effect. write_id is NULL for
 * a deletion.
 */
static bool write_took_effect(const struct store_value *current, const char *write_id)
{
	char found[STORE_WRITE_ID_BYTES] = "";

	if (!write_id)
		return !current->value;
	if (current->value)
		input_copy_string_member(current->value, "write_id", found, sizeof(found));
	return !strcmp(found, write_id);
}

/*
 * Reads a record back after a lost answer. If it is unchanged, the platform may still execute the
 * request; if another writer has changed it, the request may have been executed before. In both
 * cases the result is unknown.
 */
static enum store_result read_back(const struct store *s, const char *kind, const char *name,
				   const char *write_id, uint64_t *rev, struct br_error *err)
{
	uint64_t before = *rev;

	for (int i = 0; i < MAX_READ_BACKS; i++) {
		struct store_value current;
		bool done;

		clock_sleep_ms(s->read_back_interval_ms);
		if (store_get(s, kind, name, &current, err))
			continue;
		*rev = current.mod_rev;
		done = write_took_effect(&current, write_id);
		free(current.value);
		if (done)
			return STORE_DONE;
		br_error_set(err, -EIO, BR_STEP_STORE, s->platform,
			     "the answer was lost; %s/%s is %s revision %" PRIu64, kind, name,
			     *rev == before ? "still at" : "now at", *rev);
	}
	return STORE_UNKNOWN;
}

static enum store_result write_record(const struct store *s, const char *method, const char *kind,
				      const char *name, const char *value, const char *write_id,
				      uint64_t *rev, struct br_error *err)
{
	char target[TARGET_BYTES];
	struct http_response resp = {0};
	enum store_result res = STORE_DONE;
	size_t len;
	int ret;

	if (!record_path(target, kind, name)) {
		br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL,
			     "%s/%s: kind or name is empty or too long", kind, name);
		return STORE_REFUSED;
	}
	len = strlen(target);
	snprintf(target + len, sizeof(target) - len, "?cas=%" PRIu64, *rev);
	ret = exchange(s, method, target, value, &resp, err);
	if (ret && err->step == BR_STEP_CONNECT)
		return STORE_UNREACHABLE;
	if (ret || resp.status >= 500) {
		/* A server error does not show whether the write took effect. */
		http_response_free(&resp);
		return read_back(s, kind, name, write_id, rev, err);
	}
	if (resp.status == 200 || resp.status == 409) {
		*rev = response_rev(&resp);
		res = resp.status == 200 ? STORE_DONE : STORE_CONFLICT;
	} else if (resp.status == 404 && !write_id) {
		*rev = 0;
		res = STORE_CONFLICT;
	} else {
		set_status_error(s, resp.status, err);
		res = STORE_REFUSED;
	}
	http_response_free(&resp);
	return res;
}

enum store_result store_put(const struct store *s, const char *kind, const char *name,
			    const char *value, const char *write_id, uint64_t *rev,
			    struct br_error *err)
{
	return write_record(s, "PUT", kind, name, value, write_id, rev, err);
}

enum store_result store_delete(const struct store *s, const char *kind, const char *name,
			       uint64_t *rev, struct br_error *err)
{
	return write_record(s, "DELETE", kind, name, NULL, NULL, rev, err);
}
