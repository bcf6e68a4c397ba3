#include "node/claim_fetch.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "node/claim_page.h"
#include "node/claim_slots.h"
#include "node/forward.h"
#include "node/node.h"
#include "node/node_settings.h"

#include <civetweb.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define LOG_PREFIX "claims"

/* Writing a page of this size locks the registrar for about 1 ms. */
#define PAGE_MAX_BYTES 65536
#define RETRY_PAUSE_MS 50
/* Maximum number of claims imported under one lock of the registrar. */
#define BATCH_CLAIMS 32

struct claim_fetcher {
	struct node *node;
	struct claim_slots *slots;
	pthread_t thread;
};

/** Parsed claims of a page, collected to be imported together. */
struct import_batch {
	struct claim_slots *slots;
	const struct claim_fetch *fetch;
	struct br_claim_record recs[BATCH_CLAIMS];
	size_t n;
};

static int flush_batch(struct import_batch *b)
{
	size_t n = b->n;

	b->n = 0;
	return n ? claim_slots_import(b->slots, b->fetch, b->recs, n) : 0;
}

static int add_claim(void *arg, const struct br_claim_record *rec)
{
	struct import_batch *b = arg;

	b->recs[b->n++] = *rec;
	return b->n == BATCH_CLAIMS ? flush_batch(b) : 0;
}

/* Imports a page. Returns the number of its claims or a negative error number. */
static int64_t import_page(struct claim_slots *slots, const struct claim_fetch *fetch,
			   const char *text, uint64_t from, bool *last)
{
	struct import_batch b = {.slots = slots, .fetch = fetch};
	struct claim_page_head head;
	int64_t n;
	int ret;

	if (claim_page_parse_head(text, &head) || head.slot != fetch->slot || head.from != from)
		return -EBADMSG;
	ret = from ? 0 : claim_slots_import_begin(slots, fetch, &head.state);
	if (ret)
		return ret;
	n = claim_page_parse(text, add_claim, &b, last);
	ret = n < 0 ? 0 : flush_batch(&b);
	return ret ? ret : n;
}

/*
 * Fetches and imports one page. Returns the number of its claims, -ENOENT if the former holder does
 * not have the claims of the slot, or another negative error number.
 */
static int64_t fetch_page(struct claim_fetcher *f, const struct claim_fetch *fetch, uint64_t from,
			  bool *last)
{
	struct http_request req = {.method = "GET"};
	uint64_t now_us = clock_now_us();
	struct http_response resp;
	struct br_error err;
	char target[128];
	int64_t n;
	int ret;

	if (now_us >= fetch->deadline_us)
		return -ETIMEDOUT;
	snprintf(target, sizeof(target),
		 "/briarreel/claims?slot=%u&from=%" PRIu64 "&incarnation=%" PRIu64, fetch->slot,
		 from, fetch->former.incarnation);
	req.target = target;
	forward_add_mesh_token(f->node->forward, &req);
	ret = http_pool_exchange(f->node->peer_pool, fetch->former.node.text, &req,
				 (uint32_t)((fetch->deadline_us - now_us) / BR_US_PER_MS) + 1,
				 &resp, &err);
	if (ret)
		return ret;
	if (resp.status == 200)
		n = import_page(f->slots, fetch, resp.body, from, last);
	else
		n = resp.status == 404 ? -ENOENT : -EBADMSG;
	http_response_free(&resp);
	return n;
}

/* Fetches and imports all pages. Returns 0 or the first error. */
static int fetch_pages(struct claim_fetcher *f, const struct claim_fetch *fetch)
{
	uint64_t from = 0;
	bool last = false;

	while (!last) {
		int64_t n = fetch_page(f, fetch, from, &last);

		if (n < 0)
			return (int)n;
		from += (uint64_t)n;
	}
	return 0;
}

static void fetch_slot(struct claim_fetcher *f, const struct claim_fetch *fetch)
{
	int ret;

	for (;;) {
		ret = fetch_pages(f, fetch);
		if (!ret || ret == -ENOENT || ret == -ESTALE ||
		    clock_now_us() + RETRY_PAUSE_MS * BR_US_PER_MS >= fetch->deadline_us)
			break;
		clock_sleep_ms(RETRY_PAUSE_MS);
	}
	if (ret)
		log_info("Slot %u: cannot fetch the claims of former holder %s: error %d.",
			 fetch->slot, fetch->former.node.text, ret);
	claim_slots_fetch_done(f->slots, fetch, !ret);
}

static void *fetch_main(void *arg)
{
	struct claim_fetcher *f = arg;
	struct claim_fetch fetch;

	while (claim_slots_next_fetch(f->slots, &fetch))
		fetch_slot(f, &fetch);
	return NULL;
}

struct claim_fetcher *claim_fetcher_create(struct node *node, struct claim_slots *slots)
{
	struct claim_fetcher *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->node = node;
	f->slots = slots;
	if (pthread_create(&f->thread, NULL, fetch_main, f)) {
		free(f);
		return NULL;
	}
	return f;
}

void claim_fetcher_destroy(struct claim_fetcher *f)
{
	if (!f)
		return;
	claim_slots_stop_fetches(f->slots);
	pthread_join(f->thread, NULL);
	free(f);
}

void claim_fetch_serve(struct node *node, struct claim_slots *slots, struct mg_connection *conn)
{
	struct http_header type = {.name = "Content-Type", .value = "text/plain"};
	struct http_reply reply = {.status = 200, .headers = &type, .n_headers = 1};
	const char *query = mg_get_request_info(conn)->query_string;
	size_t bytes = node->settings->max_body_bytes;
	uint64_t incarnation;
	uint64_t from;
	unsigned int slot;
	int64_t len;
	char *text;

	if (!query || sscanf(query, "slot=%u&from=%" SCNu64 "&incarnation=%" SCNu64, &slot, &from,
			     &incarnation) != 3) {
		http_server_reply_text(conn, 400, "malformed request for claims\n");
		return;
	}
	if (bytes > PAGE_MAX_BYTES)
		bytes = PAGE_MAX_BYTES;
	text = malloc(bytes);
	len = text && incarnation == node->incarnation
		      ? claim_slots_export(slots, slot, from, text, bytes, clock_now_us())
		      : -ENOENT;
	if (len < 0) {
		http_server_reply_text(conn, 404, "no claims of this slot to hand over\n");
	} else {
		reply.body = text;
		reply.body_len = (size_t)len;
		http_server_reply(conn, &reply);
	}
	free(text);
}
