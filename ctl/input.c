#include "ctl/input.h"

#include "briarreel/error.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *input_read(const char *path, struct br_error *err)
{
	FILE *f = strcmp(path, "-") != 0 ? fopen(path, "re") : stdin;
	char *text = malloc(INPUT_MAX_BYTES + 1);
	size_t n = 0;

	if (!f || !text) {
		br_error_set(err, -errno, BR_STEP_PARSE, NULL, "%s", strerror(errno));
		free(text);
		return NULL;
	}
	n = fread(text, 1, INPUT_MAX_BYTES + 1, f);
	if (f != stdin)
		fclose(f);
	if (n <= INPUT_MAX_BYTES && !memchr(text, '\0', n)) {
		text[n] = '\0';
		return text;
	}
	br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL,
		     "larger than 1 MiB, or contains a zero byte");
	free(text);
	return NULL;
}

/* Returns the end of the JSON string that starts at p. */
static char *skip_string(char *p)
{
	for (p++; *p && *p != '"'; p++)
		if (*p == '\\' && p[1])
			p++;
	return *p ? p + 1 : p;
}

/* Overwrites text with spaces, except line ends. */
static void replace_by_spaces(char *from, const char *to)
{
	for (; from < to; from++)
		if (*from != '\n')
			*from = ' ';
}

int input_strip_comments(char *text, struct br_error *err)
{
	char *p = text;

	while (*p) {
		char *end;

		if (*p == '"') {
			p = skip_string(p);
			continue;
		}
		if (p[0] != '/' || (p[1] != '/' && p[1] != '*')) {
			p++;
			continue;
		}
		end = p[1] == '/' ? strchrnul(p, '\n') : strstr(p + 2, "*/");
		if (!end)
			return br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL,
					    "block comment is not closed");
		if (p[1] == '*')
			end += 2;
		replace_by_spaces(p, end);
		p = end;
	}
	return 0;
}

char *input_with_write_id(const char *json, const char *write_id, struct br_error *err)
{
	struct json_object *root = json_tokener_parse(json);
	char *out = NULL;

	if (json_object_is_type(root, json_type_object) &&
	    !json_object_object_add(root, "write_id", json_object_new_string(write_id)))
		out = strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	if (!out)
		br_error_set(err, -EINVAL, BR_STEP_PARSE, NULL, "not a JSON object");
	json_object_put(root);
	return out;
}

void input_copy_string_member(const char *json, const char *member, char *out, size_t out_bytes)
{
	struct json_object *root = json_tokener_parse(json);
	struct json_object *value;

	out[0] = '\0';
	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, member, &value) &&
	    json_object_is_type(value, json_type_string))
		br_copy_text(out, out_bytes, json_object_get_string(value));
	json_object_put(root);
}
