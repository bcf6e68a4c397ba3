#include "node/http_call.h"

#include "common/http_server.h"

#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Leaves room for what each hop adds: 16 headers, and 4 KB of the 16 KB that CivetWeb accepts. */
#define FORWARDED_HEADERS_MAX (HTTP_MAX_HEADERS - 16)
#define FORWARDED_HEADER_BYTES_MAX (12U << 10)

/* Largest number of headers that Briarreel adds to a reply. */
#define ADDED_HEADERS_MAX 5

bool http_call_target(const struct mg_connection *conn, char *target, size_t bytes)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *path = ri->request_uri ? ri->request_uri : "";
	int n = snprintf(target, bytes, "%s%s%s", path, ri->query_string ? "?" : "",
			 ri->query_string ? ri->query_string : "");

	return path[0] == '/' && n > 0 && (size_t)n < bytes;
}

bool http_call_copy_headers(const struct mg_connection *conn, const char *secret, struct call *c)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);

	size_t bytes = strlen(c->request_target);

	for (int i = 0; i < ri->num_headers; i++) {
		const struct mg_header *h = &ri->http_headers[i];

		if (call_header_is_filtered(h->name) ||
		    (secret && (strstr(h->value, secret) || strstr(h->name, secret))))
			continue;
		bytes += strlen(h->name) + strlen(h->value) + 4;
		if (c->n_headers == FORWARDED_HEADERS_MAX || bytes > FORWARDED_HEADER_BYTES_MAX)
			return false;
		c->headers[c->n_headers++] =
			(struct http_header){.name = h->name, .value = h->value};
	}
	return true;
}

static bool request_id_valid(const char *id)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.:@";
	size_t len = strlen(id);

	return len && len < BR_REQUEST_ID_BYTES && strspn(id, allowed) == len;
}

bool http_call_request_id(const struct mg_connection *conn, char *id, size_t bytes)
{
	const char *briarreel_id = mg_get_header(conn, "Briarreel-Request-Id");
	const char *idempotency_key = mg_get_header(conn, "Idempotency-Key");

	id[0] = '\0';
	if (briarreel_id && idempotency_key && strcmp(briarreel_id, idempotency_key) != 0)
		return false;
	if (!briarreel_id)
		briarreel_id = idempotency_key;
	if (!briarreel_id)
		return true;
	return request_id_valid(briarreel_id) && br_copy_text(id, bytes, briarreel_id);
}

bool http_call_header_u64(const struct mg_connection *conn, const char *name, uint64_t fallback,
			  uint64_t max, uint64_t *out)
{
	const char *text = mg_get_header(conn, name);
	char *end;

	*out = fallback;
	if (!text)
		return true;
	if (text[0] < '0' || text[0] > '9' || strlen(text) > 20)
		return false;
	*out = strtoull(text, &end, 10);
	return !*end && *out <= max;
}

/* Formats the body of a reply without an answer of a target. */
static const char *describe(const struct br_outcome *o, char *text, size_t bytes)
{
	snprintf(text, bytes, "%s: %s\n", br_outcome_name(o), br_reason_name(br_outcome_reason(o)));
	return text;
}

size_t http_call_add_answer(const struct call_answer *ans, struct http_header *headers, size_t n,
			    struct http_reply *reply)
{
	for (size_t i = 0; i < ans->resp.n_headers; i++)
		if (!call_header_is_filtered(ans->resp.headers[i].name))
			headers[n++] = ans->resp.headers[i];
	reply->body = ans->resp.body;
	reply->body_len = ans->resp.body_len;
	return n;
}

void http_call_reply(struct mg_connection *conn, const struct call *c,
		     const struct call_answer *ans, const char *slots, bool close)
{
	struct http_header headers[HTTP_MAX_HEADERS + ADDED_HEADERS_MAX];
	struct http_reply reply = {
		.status = br_outcome_status(&ans->outcome), .headers = headers, .close = close};
	uint32_t retry_after_s = br_outcome_retry_after_s(&ans->outcome);
	char retry_after[16];
	char text[128];
	size_t n = 0;

	headers[n++] = (struct http_header){"Briarreel-Outcome", br_outcome_name(&ans->outcome)};
	if (c && c->request_id[0])
		headers[n++] = (struct http_header){"Briarreel-Request-Id", c->request_id};
	if (slots && slots[0])
		headers[n++] = (struct http_header){"Briarreel-Local-Slots", slots};
	if (ans->outcome.kind == BR_OUTCOME_ANSWERED) {
		n = http_call_add_answer(ans, headers, n, &reply);
	} else {
		headers[n++] = (struct http_header){
			"Briarreel-Reason", br_reason_name(br_outcome_reason(&ans->outcome))};
		snprintf(retry_after, sizeof(retry_after), "%u", retry_after_s);
		if (retry_after_s)
			headers[n++] = (struct http_header){"Retry-After", retry_after};
		reply.body = describe(&ans->outcome, text, sizeof(text));
		reply.body_len = strlen(text);
	}
	reply.n_headers = n;
	http_server_reply(conn, &reply);
}

void http_call_refuse(struct mg_connection *conn, struct br_outcome outcome, bool close)
{
	struct call_answer ans = {.outcome = outcome};

	http_call_reply(conn, NULL, &ans, NULL, close);
}
