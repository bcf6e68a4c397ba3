#include "mesh/node_message.h"

#include "common/json.h"
#include "net/buf.h"

#include <string.h>

static void write_body(struct buf *out, struct json_object *body)
{
	const char *text = body ? json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN) : "";

	buf_printf(out, "Content-Length: %zu\r\n\r\n%s", strlen(text), text);
	json_object_put(body);
}

void node_message_write(struct buf *out, const char *field, struct json_object *body)
{
	buf_printf(out, "POST / HTTP/1.1\r\n%s: 1\r\n", field);
	write_body(out, body);
}

void node_message_write_answer(struct buf *out, uint16_t status, struct json_object *body)
{
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status, http_reason(status));
	write_body(out, body);
}

struct json_object *node_message_read(const struct http_msg *m)
{
	return json_parse_object(m->body.data, m->body.len);
}
