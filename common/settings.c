#include "common/settings.h"

#include "briarreel/error.h"
#include "common/text_file.h"

#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size of a settings file. */
#define MAX_FILE_BYTES (1U << 20)
/* Number of keys that find_repeated_key() stores; repetitions of later keys are not found. */
#define MAX_KEYS_SEEN 128

bool settings_is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[SETTINGS_ADDRESS_BYTES];
	struct in_addr addr;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &addr) != 1 || colon[1] < '0' || colon[1] > '9')
		return false;
	port = strtol(colon + 1, &end, 10);
	return !*end && port > 0 && port <= 65535;
}

/* Returns the end of the comment that starts at p, or p if none starts there. */
static const char *skip_comment(const char *p)
{
	const char *end;

	if (p[0] != '/')
		return p;
	if (p[1] == '/') {
		end = strchr(p, '\n');
		return end ? end : p + strlen(p);
	}
	if (p[1] == '*') {
		end = strstr(p + 2, "*/");
		return end ? end + 2 : p + strlen(p);
	}
	return p;
}

/* Returns the end of the JSON string that starts at p. */
static const char *skip_string(const char *p)
{
	for (p++; *p && *p != '"'; p++)
		if (*p == '\\' && p[1])
			p++;
	return *p ? p + 1 : p;
}

/*
 * json-c silently keeps the last value of a repeated key, so the text itself is searched for
 * repeated keys of the outermost object. Returns true and copies the key if one is repeated.
 */
static bool find_repeated_key(const char *text, char *key, size_t key_bytes)
{
	const char *seen[MAX_KEYS_SEEN];
	size_t lens[MAX_KEYS_SEEN];
	size_t n = 0;
	int depth = 0;
	const char *p = text;

	while (*p) {
		const char *next = skip_comment(p);
		const char *start = p;

		if (next != p) {
			p = next;
			continue;
		}
		if (*p == '{' || *p == '[')
			depth++;
		if (*p == '}' || *p == ']')
			depth--;
		if (*p != '"') {
			p++;
			continue;
		}
		p = skip_string(p);
		next = p + strspn(p, " \t\r\n");
		if (*next != ':' || depth != 1)
			continue;
		for (size_t i = 0; i < n; i++) {
			if (lens[i] != (size_t)(p - start) || memcmp(seen[i], start, lens[i]) != 0)
				continue;
			snprintf(key, key_bytes, "%.*s", (int)lens[i] - 2, start + 1);
			return true;
		}
		if (n < MAX_KEYS_SEEN) {
			seen[n] = start;
			lens[n++] = (size_t)(p - start);
		}
	}
	return false;
}

static int set_value_error(const char *name, const char *key, struct json_object *value,
			   const char *reason, struct br_error *err)
{
	return br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL, "%s: %s: %s: %s", name, key,
			    json_object_to_json_string(value), reason);
}

static int read_number(const char *name, const struct settings_key *key, struct json_object *value,
		       void *field, struct br_error *err)
{
	char range[64];
	int64_t n = json_object_get_int64(value);
	uint32_t out = (uint32_t)n;

	snprintf(range, sizeof(range), "must be a whole number from %u to %u", key->min, key->max);
	if (!json_object_is_type(value, json_type_int) || n < key->min || n > key->max)
		return set_value_error(name, key->name, value, range, err);
	memcpy(field, &out, sizeof(out));
	return 0;
}

static int read_text(const char *name, const struct settings_key *key, struct json_object *value,
		     void *field, struct br_error *err)
{
	const char *text = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string) || !*text)
		return set_value_error(name, key->name, value, "must be a text that is not empty",
				       err);
	if (key->type == SETTINGS_ADDRESS && !settings_is_address(text))
		return set_value_error(name, key->name, value, "must be an IPv4 address and a port",
				       err);
	if (!br_copy_text(field, key->max, text))
		return set_value_error(name, key->name, value, "is too long", err);
	return 0;
}

static int read_addresses(const char *name, const struct settings_key *key,
			  struct json_object *value, void *field, struct br_error *err)
{
	struct settings_addresses *list = field;
	size_t n;

	if (!json_object_is_type(value, json_type_array) ||
	    json_object_array_length(value) > SETTINGS_MAX_ADDRESSES)
		return set_value_error(name, key->name, value,
				       "must be a list of at most 16 addresses", err);
	n = json_object_array_length(value);
	for (size_t i = 0; i < n; i++) {
		struct json_object *item = json_object_array_get_idx(value, i);
		const char *text = json_object_get_string(item);

		if (!json_object_is_type(item, json_type_string) || !settings_is_address(text) ||
		    !br_copy_text(list->text[i], sizeof(list->text[i]), text))
			return set_value_error(name, key->name, item,
					       "must be an IPv4 address and a port", err);
	}
	list->n = (uint32_t)n;
	return 0;
}

static int read_bool(const char *name, const struct settings_key *key, struct json_object *value,
		     void *field, struct br_error *err)
{
	bool out = json_object_get_boolean(value);

	if (!json_object_is_type(value, json_type_boolean))
		return set_value_error(name, key->name, value, "must be true or false", err);
	memcpy(field, &out, sizeof(out));
	return 0;
}

static int read_key(const char *name, const struct settings_key *key, struct json_object *value,
		    void *out, struct br_error *err)
{
	void *field = (char *)out + key->offset;

	switch (key->type) {
	case SETTINGS_U32:
		return read_number(name, key, value, field, err);
	case SETTINGS_TEXT:
	case SETTINGS_ADDRESS:
		return read_text(name, key, value, field, err);
	case SETTINGS_ADDRESSES:
		return read_addresses(name, key, value, field, err);
	case SETTINGS_BOOL:
		return read_bool(name, key, value, field, err);
	}
	return -EINVAL;
}

static const struct settings_key *find_key(const struct settings_key *keys, size_t n_keys,
					   const char *name)
{
	for (size_t i = 0; i < n_keys; i++)
		if (!strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

static int read_object(const char *name, struct json_object *root, const struct settings_key *keys,
		       size_t n_keys, void *out, struct br_error *err)
{
	for (size_t i = 0; i < n_keys; i++) {
		if (keys[i].type == SETTINGS_U32)
			memcpy((char *)out + keys[i].offset, &keys[i].fallback, sizeof(uint32_t));
		if (keys[i].required && !json_object_object_get_ex(root, keys[i].name, NULL))
			return br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL,
					    "%s: %s: key is missing", name, keys[i].name);
	}
	json_object_object_foreach(root, key, value)
	{
		const struct settings_key *known = find_key(keys, n_keys, key);
		int ret;

		if (!known)
			return set_value_error(name, key, value, "unknown key", err);
		ret = read_key(name, known, value, out, err);
		if (ret)
			return ret;
	}
	return 0;
}

int settings_parse(const char *name, const char *text, const struct settings_key *keys,
		   size_t n_keys, void *out, struct br_error *err)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;
	char repeated[64];
	int ret;

	if (!tok)
		return br_error_set(err, -ENOMEM, BR_STEP_PARSE, NULL, "out of memory");
	root = json_tokener_parse_ex(tok, text, (int)strlen(text) + 1);
	if (!root || !json_object_is_type(root, json_type_object))
		ret = br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL,
				   "%s: not a JSON object: %s at byte %zu", name,
				   json_tokener_error_desc(json_tokener_get_error(tok)),
				   json_tokener_get_parse_end(tok));
	else if (find_repeated_key(text, repeated, sizeof(repeated)))
		ret = br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL, "%s: %s: key is repeated",
				   name, repeated);
	else
		ret = read_object(name, root, keys, n_keys, out, err);
	json_object_put(root);
	json_tokener_free(tok);
	return ret;
}

int settings_read(const char *path, const struct settings_key *keys, size_t n_keys, void *out,
		  struct br_error *err)
{
	char *text;
	int ret = text_file_read(path, MAX_FILE_BYTES, &text, err);

	if (ret)
		return ret;
	ret = settings_parse(path, text, keys, n_keys, out, err);
	free(text);
	return ret;
}
