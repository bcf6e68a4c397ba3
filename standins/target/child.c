#include "child.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "standins/standin.h"

#include <errno.h>
#include <inttypes.h>

#define MAX_CHILDREN 16
#define NODE_TIMEOUT_MS 2000

struct child {
	char service[BR_NAME_BYTES];
	char method[8];
	char address[BR_NODE_ID_BYTES];
	char path[128];
};

static struct child_config config;
static struct child children[MAX_CHILDREN];
static size_t n_children;
static struct http_pool *pool;

/* "service[@ip:port]:[METHOD:]/path" */
static bool parse_child(const char *text, struct child *c)
{
	const char *path = strchr(text, '/');
	char prefix[192];
	char *at;
	char *colon;

	if (!path || path == text || path[-1] != ':' || (size_t)(path - text) >= sizeof(prefix))
		return false;
	memcpy(prefix, text, (size_t)(path - text));
	prefix[path - text - 1] = '\0';
	br_copy_text(c->path, sizeof(c->path), path);
	br_copy_text(c->method, sizeof(c->method), "GET");
	colon = strrchr(prefix, ':');
	if (colon && colon[1] >= 'A' && colon[1] <= 'Z') {
		br_copy_text(c->method, sizeof(c->method), colon + 1);
		*colon = '\0';
	}
	at = strchr(prefix, '@');
	if (at)
		*at = '\0';
	br_copy_text(c->address, sizeof(c->address),
		     at ? at + 1 : (config.node ? config.node : ""));
	br_copy_text(c->service, sizeof(c->service), prefix);
	return c->address[0] != '\0';
}

bool child_init(const struct child_config *cfg)
{
	char *copy = strdup(cfg->children ? cfg->children : "");
	bool ok = copy != NULL;
	char *save;

	config = *cfg;
	for (char *t = copy ? strtok_r(copy, ",", &save) : NULL; t && ok;
	     t = strtok_r(NULL, ",", &save))
		ok = n_children < MAX_CHILDREN && parse_child(t, &children[n_children++]);
	free(copy);
	pool = http_pool_create(&(struct http_pool_config){.max_idle_per_peer = 512,
							   .max_idle_ms = 5000,
							   .connect_timeout_ms = 1000,
							   .max_body_bytes = 16U << 20});
	return ok && pool;
}

void child_destroy(void)
{
	http_pool_destroy(pool);
}

static uint32_t remaining_ms(uint64_t deadline_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t left_ms;

	if (!deadline_us)
		return config.timeout_ms;
	left_ms = deadline_us > now_us ? (deadline_us - now_us) / 1000 : 0;
	return left_ms < config.timeout_ms ? (uint32_t)left_ms : config.timeout_ms;
}

static bool call_once(const struct child *c, const char *id, const char *context,
		      uint64_t deadline_us)
{
	uint32_t left_ms = remaining_ms(deadline_us);
	struct http_request req = {.method = c->method, .target = c->path};
	struct http_response resp;
	char deadline[16];
	bool ok;

	if (!left_ms)
		return false;
	snprintf(deadline, sizeof(deadline), "%" PRIu32, left_ms);
	http_request_add(&req, "Briarreel-Deadline-Ms", deadline);
	if (id[0])
		http_request_add(&req, "Briarreel-Request-Id", id);
	if (context)
		http_request_add(&req, "Briarreel-Context", context);
	if (strcmp(c->method, "GET") != 0) {
		req.body = id;
		req.body_len = strlen(id);
	}
	if (http_pool_exchange(pool, c->address, &req, left_ms, &resp, NULL))
		return false;
	ok = resp.status < 400;
	http_response_free(&resp);
	return ok;
}

bool child_call_all(const char *parent_id, const char *context, uint64_t deadline_us)
{
	for (size_t i = 0; i < n_children; i++) {
		char id[BR_REQUEST_ID_BYTES + 8] = "";
		uint32_t attempt = 0;

		/* Same id for every run of the parent, so that they share one run of the child. */
		if (parent_id[0])
			snprintf(id, sizeof(id), "%s.%zu", parent_id, i);
		while (!call_once(&children[i], id, context, deadline_us))
			if (attempt++ >= config.retries)
				return false;
	}
	return true;
}

int child_post_node(const char *path, const char *json)
{
	struct http_request req = {
		.method = "POST", .target = path, .body = json, .body_len = strlen(json)};
	struct http_response resp;
	int ret;

	if (!config.node)
		return -ENOTCONN;
	http_request_add(&req, "Content-Type", "application/json");
	ret = http_pool_exchange(pool, config.node, &req, NODE_TIMEOUT_MS, &resp, NULL);
	if (ret)
		return ret;
	ret = resp.status;
	http_response_free(&resp);
	return ret;
}
