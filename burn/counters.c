#include "burn/counters.h"

#include <string.h>

static bool is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
	       c == '_';
}

/* Copies a name to out and returns its end; NULL if there is none or it is too long. */
static const char *read_name(const char *p, char *out)
{
	size_t n = 0;

	while (is_name_char(p[n]) && n + 1 < COUNTERS_TEXT_BYTES) {
		out[n] = p[n];
		n++;
	}
	out[n] = '\0';
	return n && !is_name_char(p[n]) ? p + n : NULL;
}

/*
 * Copies a quoted value to out and returns its end; NULL if it is malformed or too long. \n stands
 * for a line end; before any other byte a backslash is dropped.
 */
static const char *read_value(const char *p, char *out)
{
	size_t n = 0;

	if (*p++ != '"')
		return NULL;
	for (; *p != '"'; p++) {
		char c = *p;

		if (c == '\\') {
			c = *++p;
			if (c == 'n')
				c = '\n';
		}
		if (!c || *p == '\n' || n + 1 >= COUNTERS_TEXT_BYTES)
			return NULL;
		out[n++] = c;
	}
	out[n] = '\0';
	return p + 1;
}

/* Reads the labels, if there are any, and returns their end; NULL if they are malformed. */
static const char *read_labels(const char *p, struct counter_line *out)
{
	if (*p != '{')
		return p;
	for (p++; *p != '}'; p++) {
		struct counter_label *label = &out->labels[out->n_labels];

		if (out->n_labels++ == COUNTERS_MAX_LABELS)
			return NULL;
		p = read_name(p, label->name);
		if (!p || *p != '=')
			return NULL;
		p = read_value(p + 1, label->value);
		if (!p || (*p != ',' && *p != '}'))
			return NULL;
		if (*p == '}')
			break;
	}
	return p + 1;
}

bool counters_parse_line(const char *text, struct counter_line *out)
{
	const char *p;

	out->n_labels = 0;
	out->value = 0;
	p = read_name(text, out->name);
	if (p)
		p = read_labels(p, out);
	if (!p || *p != ' ')
		return false;
	p += strspn(p, " ");
	if (*p < '0' || *p > '9')
		return false;
	for (; *p >= '0' && *p <= '9'; p++)
		if (__builtin_mul_overflow(out->value, 10, &out->value) ||
		    __builtin_add_overflow(out->value, (uint64_t)(*p - '0'), &out->value))
			return false;
	if (*p == '\r')
		p++;
	return !*p || *p == '\n';
}

size_t counters_parse(const char *text, counters_visit visit, void *arg)
{
	struct counter_line line;
	size_t malformed = 0;

	while (*text) {
		const char *end = strchr(text, '\n');

		if (*text != '\n' && *text != '\r' && *text != '#') {
			if (counters_parse_line(text, &line))
				visit(&line, arg);
			else
				malformed++;
		}
		text = end ? end + 1 : text + strlen(text);
	}
	return malformed;
}

const char *counter_label(const struct counter_line *line, const char *name)
{
	for (size_t i = 0; i < line->n_labels; i++)
		if (!strcmp(line->labels[i].name, name))
			return line->labels[i].value;
	return "";
}
