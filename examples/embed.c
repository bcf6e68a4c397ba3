/*
 * Embeds the library without sockets: applies configuration records, takes rate tokens and admits
 * requests, in simulated time.
 */
#include "briarreel/admission.h"
#include "briarreel/bucket.h"
#include "briarreel/config.h"
#include "briarreel/error.h"
#include "briarreel/view.h"

#include <stdio.h>
#include <string.h>

#define REQUESTS 8
#define SERVICE_TIME_US (20 * BR_US_PER_MS)

static void apply_change(struct br_config *cfg, const char *key, uint64_t rev, const char *json)
{
	struct br_config_change c = {key, rev, json, strlen(json)};
	struct br_error err;

	if (br_config_apply(cfg, &c, &err) != BR_CONFIG_ACCEPTED)
		printf("rejected %s\n", err.detail);
}

/* Takes a token. If there is none, leases rate from the grantor of this process and tries again. */
static int take_token(struct br_bucket *bucket, struct br_grantor *grantor, uint64_t now_us)
{
	struct br_bucket_holder holder;
	struct br_lease_request req;
	struct br_lease_reply rep;
	uint64_t good_until_us;

	if (!br_bucket_take(bucket, true, now_us, &good_until_us))
		return 0;
	if (br_bucket_select_holders(bucket, now_us, &holder, 1) &&
	    !br_bucket_make_request(bucket, &holder, now_us, &req) &&
	    !br_grantor_request(grantor, &req, now_us, &rep))
		br_bucket_apply(bucket, &holder, &rep, now_us);
	if (!br_bucket_take(bucket, false, now_us, &good_until_us))
		return 0;
	br_bucket_wait_ended(bucket);
	return -1;
}

static void print_drop(void *ctx, struct br_admission_entry *e, enum br_admission_reason reason)
{
	printf("request %td dropped: %s\n", e - (struct br_admission_entry *)ctx,
	       br_admission_reason_text(reason));
}

int main(void)
{
	static const char *const results[] = {"runs", "is queued", "is refused: queue full"};
	struct br_bucket_config bc = {"acme", .incarnation = 1};
	struct br_grantor_config gc = {.incarnation = 1, .lease_term_us = 4 * BR_US_PER_S};
	struct br_bucket_holder self = {.incarnation = 1, .same_zone = true, .slots = 1};
	struct br_admission_entry e[REQUESTS] = {0}, *next;
	struct br_admission_cfg ac = {
		.limit = 2, .queue_max = 2, .drop = print_drop, .drop_ctx = e};
	struct br_admission *admission = br_admission_create(&ac);
	struct br_grantor *grantor = br_grantor_create(&gc);
	struct br_bucket *bucket = br_bucket_create(&bc);
	struct br_config *cfg = br_config_create(0);
	const struct br_account *acme;
	uint64_t now_us = BR_US_PER_S;
	struct br_view *view;

	apply_change(cfg, "account/acme", 1, "{\"schema\": 1, \"rate_per_s\": 10, \"burst\": 5}");
	apply_change(cfg, "account/broken", 2, "{\"schema\": 1, \"rate_per_s\": -1, \"burst\": 5}");
	view = br_config_view(cfg);
	acme = &br_view_account(view, "acme")->account;
	br_grantor_set_valid_until(grantor, UINT64_MAX);
	br_grantor_set_entitlement(grantor, "acme", acme->rate_mtok_s,
				   acme->burst * BR_NTOK_PER_TOKEN, now_us);
	br_bucket_set_limits(bucket, acme->rate_mtok_s, acme->burst * BR_NTOK_PER_TOKEN, 1, now_us);
	br_bucket_set_holders(bucket, &self, 1, now_us);
	now_us += BR_US_PER_S; /* The grantor's bucket starts empty; after a second it is full. */
	for (int i = 0; i < REQUESTS; i++) {
		e[i].account = br_hash_str("acme", 0);
		e[i].deadline_us = now_us + BR_US_PER_S;
		printf("request %d %s\n", i,
		       take_token(bucket, grantor, now_us)
			       ? "is refused: over rate"
			       : results[br_admission_offer(admission, &e[i], now_us)]);
	}
	for (int i = 0; i < REQUESTS; i++) {
		if (e[i].state != BR_ENTRY_RUNNING)
			continue;
		br_admission_done(admission, &e[i], SERVICE_TIME_US, now_us += SERVICE_TIME_US);
		while ((next = br_admission_next(admission, now_us)))
			printf("request %d done, request %td runs\n", i, next - e);
	}
	br_admission_destroy(admission);
	br_bucket_destroy(bucket);
	br_grantor_destroy(grantor);
	br_view_put(view);
	br_config_destroy(cfg);
	return 0;
}
