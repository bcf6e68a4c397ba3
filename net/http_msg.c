#include "net/http_msg.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct http_msg *http_msg_create(void)
{
	return xcalloc(1, sizeof(struct http_msg));
}

void http_msg_destroy(struct http_msg *m)
{
	if (!m)
		return;
	http_charge_release(&m->charge);
	buf_free(&m->text);
	buf_free(&m->body);
	free(m->fields);
	free(m);
}

const char *http_msg_target(const struct http_msg *m)
{
	return m->text.data + m->target;
}

const char *http_msg_field_name(const struct http_msg *m, uint32_t i)
{
	return m->text.data + m->fields[i].name;
}

const char *http_msg_field_value(const struct http_msg *m, uint32_t i)
{
	return m->text.data + m->fields[i].value;
}

const char *http_msg_find_field(const struct http_msg *m, const char *name)
{
	for (uint32_t i = 0; i < m->n_fields; i++)
		if (!strcasecmp(http_msg_field_name(m, i), name))
			return http_msg_field_value(m, i);
	return NULL;
}

uint32_t http_msg_count_fields(const struct http_msg *m, const char *name)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n_fields; i++)
		n += !strcasecmp(http_msg_field_name(m, i), name);
	return n;
}

bool http_msg_is_head(const struct http_msg *m)
{
	return m->method == HTTP_HEAD;
}

void http_msg_write_length(struct buf *b, const struct http_msg *m)
{
	const char *announced = m->no_body ? http_msg_find_field(m, "content-length") : NULL;

	if (announced)
		buf_printf(b, "Content-Length: %s\r\n", announced);
	else if (!m->no_body && m->status != 204 && m->status != 304)
		buf_printf(b, "Content-Length: %zu\r\n", m->body.len);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

bool http_is_field_value(const char *text)
{
	size_t len = strlen(text);

	/* Blanks at the ends are not part of a value. */
	if (!len || is_blank(text[0]) || is_blank(text[len - 1]))
		return false;
	for (size_t i = 0; i < len; i++)
		if (((unsigned char)text[i] < ' ' && text[i] != '\t') || text[i] == '\x7f')
			return false;
	return true;
}

bool http_field_is_hop_by_hop(const char *name)
{
	static const char *const hop_by_hop[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"transfer-encoding",
		"content-length",
		"te",
		"trailer",
		"upgrade",
		"expect",
		"proxy-authenticate",
		"proxy-authorization",
	};

	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++)
		if (!strcasecmp(name, hop_by_hop[i]))
			return true;
	return false;
}

const char *http_reason(uint16_t status)
{
	switch (status) {
#define REASON(num, name, text) \
	case num:               \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Status";
	}
}

const char *http_method_name(uint8_t method)
{
	return http_method_str((enum http_method)method);
}
