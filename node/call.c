#include "node/call.h"

#include "common/clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

void call_init(struct call *c)
{
	memset(c, 0, sizeof(*c));
	c->arrived_us = clock_now_us();
	pthread_mutex_init(&c->cancel.lock, NULL);
}

void call_destroy(struct call *c)
{
	pthread_mutex_destroy(&c->cancel.lock);
}

void call_set_scope(struct call *c)
{
	size_t path_len = strcspn(c->request_target, "?");
	uint64_t digest[2];

	for (uint64_t i = 0; i < 2; i++) {
		digest[i] = br_hash_str(c->account, i);
		digest[i] = br_hash_str(c->service, digest[i]);
		digest[i] = br_hash_str(c->method, digest[i]);
		digest[i] = br_hash64(c->request_target, path_len, digest[i]);
	}
	snprintf(c->scope, sizeof(c->scope), "%016llx%016llx", (unsigned long long)digest[0],
		 (unsigned long long)digest[1]);
}

bool call_cancelled(struct call *c)
{
	bool cancelled;

	pthread_mutex_lock(&c->cancel.lock);
	cancelled = c->cancel.cancelled;
	pthread_mutex_unlock(&c->cancel.lock);
	return cancelled;
}

uint32_t call_remaining_ms(const struct call *c, uint64_t now_us)
{
	return now_us < c->deadline_us ? (uint32_t)((c->deadline_us - now_us) / BR_US_PER_MS) : 0;
}

void call_answer_free(struct call_answer *ans)
{
	http_response_free(&ans->resp);
}

void call_answer_set_outcome(struct call_answer *ans, struct br_outcome outcome)
{
	http_response_free(&ans->resp);
	ans->outcome = outcome;
}

bool call_header_is_filtered(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Content-Length",
		"Host",
		"Keep-Alive",
		"Proxy-Authorization",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Upgrade",
		"Expect",
		"Transfer-Encoding",
		"Authorization",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return true;
	return !strncasecmp(name, "Briarreel-", strlen("Briarreel-")) ||
	       !strcasecmp(name, "Idempotency-Key");
}

char *call_headers_encode(const struct http_response *resp, size_t *len)
{
	size_t bytes = 1;
	char *text;
	char *p;

	for (size_t i = 0; i < resp->n_headers; i++)
		bytes += strlen(resp->headers[i].name) + strlen(resp->headers[i].value) + 4;
	text = malloc(bytes);
	if (!text)
		return NULL;
	p = text;
	for (size_t i = 0; i < resp->n_headers; i++) {
		if (call_header_is_filtered(resp->headers[i].name))
			continue;
		p = stpcpy(p, resp->headers[i].name);
		p = stpcpy(p, ": ");
		p = stpcpy(p, resp->headers[i].value);
		p = stpcpy(p, "\r\n");
	}
	*len = (size_t)(p - text);
	return text;
}

int call_headers_decode(const char *text, size_t len, struct http_response *resp)
{
	char *line;

	resp->header_text = strndup(text, len);
	if (!resp->header_text)
		return -ENOMEM;
	line = resp->header_text;
	while (resp->n_headers < HTTP_MAX_HEADERS) {
		char *end = strstr(line, "\r\n");
		char *colon = strstr(line, ": ");

		if (!end || !colon || colon > end)
			break;
		*end = '\0';
		*colon = '\0';
		resp->headers[resp->n_headers++] =
			(struct http_header){.name = line, .value = colon + 2};
		line = end + 2;
	}
	return 0;
}
