/*
 * Decoders of bytes that come from outside the process, and inputs to begin with. Used by
 * tests/random/decoders.c, which changes the inputs at random, and by tests/fuzz/fuzz.c, which lets
 * libFuzzer do it. Add an input that once failed to the seeds of its decoder.
 */
#ifndef TESTS_FUZZ_TARGETS_H
#define TESTS_FUZZ_TARGETS_H

#include "briarreel/error.h"
#include "briarreel/record.h"
#include "common/json.h"
#include "mesh/era_mark.h"
#include "mesh/keeper_link.h"
#include "mesh/keeper_message.h"
#include "mesh/left_format.h"
#include "mesh/members.h"
#include "mesh/peer_format.h"
#include "node/wire.h"
#include "platform/decode.h"
#include "tests/fuzz/http_targets.h"

#include <stdlib.h>
#include <string.h>

struct fuzz_input {
	const char *bytes;
	size_t len;
};

struct fuzz_target {
	const char *name;
	void (*run)(const char *bytes, size_t len);
	const struct fuzz_input *seeds;
	size_t n_seeds;
};

/* The decoders of texts expect a terminator. */
static char *copy_input(const char *bytes, size_t len)
{
	char *text = xmalloc(len + 1);

	memcpy(text, bytes, len);
	text[len] = '\0';
	return text;
}

static void run_keeper_message(const char *bytes, size_t len)
{
	struct keeper_message m;

	(void)keeper_message_read(bytes, len, &m);
}

static void run_wire(const char *bytes, size_t len)
{
	struct wire_in in;
	struct br_member member;
	struct br_config_page page;
	struct br_lease_request req;
	struct br_lease_reply rep;
	struct br_slot_holder holder;
	uint32_t slot;

	if (wire_in_init(&in, bytes, len))
		return;
	for (uint32_t i = 0; i < in.n_args; i++) {
		(void)wire_get_member(&in.args[i], &member);
		(void)wire_get_slot(&in.args[i], &slot, &holder);
		(void)wire_get_page(&in.args[i], &page);
		(void)wire_get_lease_req(&in.args[i], &req);
		(void)wire_get_lease_rep(&in.args[i], &rep);
	}
	wire_in_free(&in);
}

static void run_config(const char *bytes, size_t len)
{
	struct br_error err = {0};
	struct mesh_config *c = platform_decode_config(bytes, len, &err);

	if (c) {
		const struct mesh_route *r = mesh_config_route(c, "h.example", "/a/b");

		(void)mesh_config_account(c, "k");
		if (r)
			(void)mesh_route_choose_service(r, 0.5);
		if (r)
			(void)mesh_config_rank(c, r, c->n_accounts ? &c->accounts[0] : NULL);
	}
	mesh_config_unref(c);
}

static void run_settings(const char *bytes, size_t len)
{
	char *text = copy_input(bytes, len);
	struct mesh_settings s;
	struct br_error err = {0};

	(void)platform_parse_settings("fuzz", text, &s, &err);
	free(text);
}

static void run_report(const char *bytes, size_t len)
{
	struct target_report r;
	struct br_error err = {0};

	(void)platform_decode_report(bytes, len, &r, &err);
}

static void run_entry(const char *bytes, size_t len)
{
	static struct mesh_settings settings = {.node = "self"};
	static struct board board;

	if (!board.members) {
		board = (struct board){.loop = uv_default_loop(), .settings = &settings};
		board.balance = br_balance_create(0);
		board.members = members_create(&board);
	}
	(void)members_put(board.members, "n1", bytes, len);
	members_sweep(board.members);
}

static void run_peer_job(const char *bytes, size_t len)
{
	char *text = copy_input(bytes, len);
	struct peer_job job;

	if (!peer_read_job(text, &job))
		peer_job_clear(&job);
	free(text);
}

static void run_peer_end(const char *bytes, size_t len)
{
	char *text = copy_input(bytes, len);
	struct peer_end end;

	(void)peer_read_end(text, &end);
	free(text);
}

static void run_fetch(const char *bytes, size_t len)
{
	static struct mesh_settings settings = {.node = "self"};
	static struct board board;
	char *text = copy_input(bytes, len);
	struct buf out = {0};

	if (!board.members) {
		board = (struct board){.settings = &settings, .incarnation = 7};
		board.members = members_create(&board);
	}
	keeper_link_answer_fetch(&board, text, &out);
	buf_free(&out);
	free(text);
}

/* What nodes hold for each other, and what the store keeps, of the targets that have left. */
static void run_left(const char *bytes, size_t len)
{
	struct json_object *o = json_parse_object(bytes, len);
	struct json_object *left = o ? json_member_array(o, "left") : NULL;
	struct br_left_list list = {0}, known = {0};

	br_left_add(&known, "t1", 5000);
	if (left)
		left_read(left, &list);
	(void)br_left_add_missing(&known, &list);
	json_object_put(left_write(&known));
	json_object_put(o);
}

/* The era that the store's answers name, and the one that its mark names. */
static void run_era(const char *bytes, size_t len)
{
	char *text = copy_input(bytes, len);
	struct store_item item = {.value = text, .len = len};
	struct board board = {0};
	uint64_t era;

	(void)br_store_era_parse(text, &era);
	era_mark_read(&board, &item, 7);
	free(text);
}

static void run_record(const char *bytes, size_t len)
{
	static const char *const kinds[] = {"account", "key", "route", "service", "zone", "mesh"};
	struct br_record r;

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		(void)br_record_parse(kinds[i], "n", bytes, len, &r, NULL);
}

#define INPUT(text)                    \
	{                              \
		text, sizeof(text) - 1 \
	}

/* A map whose key is an array of 2.4 billion elements. */
static const struct fuzz_input keeper_seeds[] = {
	INPUT("\x85\xdd\x8d\x9a\x89\x96\xb5\xcd\x7d"),
	INPUT("\x9b\x03\x01\xcf\x01\x02\x03\x04\x05\x06\x07\x08\xce\x00\x01\x02\x03\x05\x06\x01\x07"
	      "\x08\xcd\x01\x02\x03"),
};

/* The second input holds an empty text, which the decoder gives no memory. */
static const struct fuzz_input wire_seeds[] = {
	INPUT("\x85\xdd\x8d\x9a\x89\x96\xb5\xcd\x7d"),
	INPUT("\x9d\x01\x01\xfb\xa0\xa0\x9a\xa0\x01\xa0\x00\xe3\x01\x0e\xe3\xe0\xe3\x90\xe0"
	      "\xe3\x90\x55\x90\x90"),
	INPUT("\x94\x03\x02\x93\xa1k\x07\xa1v\x92\xa1n\x09"),
	INPUT("\x93\x03\x01\x9b\xa1n\xa1z\xa1s\x01\x02\x03\x04\x05\x06\x07\x08"),
};

static const struct fuzz_input config_seeds[] = {
	INPUT("{\"version\":\"0000000c\",\"resources\":[{\"entryKind\":\"routes\",\"metadata\":"
	      "{\"name\":\"r\"},\"specification\":{\"host\":\"h.example\",\"prefix\":\"/a/\","
	      "\"kind\":\"safe\",\"attempts\":2,\"timeout\":\"1.5s\",\"latencyTarget\":\"900ms\","
	      "\"priority\":1,\"weightedServices\":[{\"service\":\"s\",\"weight\":90}]}},"
	      "{\"entryKind\":\"services\",\"metadata\":{\"name\":\"s\"},\"specification\":"
	      "{\"healthPath\":\"/h\"}},{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"t\"},"
	      "\"specification\":{\"apiKeys\":[\"k\"],\"priority\":1,\"ratePerS\":5.5,\"burst\":7}}"
	      ","
	      "{\"entryKind\":\"limits\",\"specification\":{\"headerBytes\":16384,\"bodyBytes\":"
	      "1e6,"
	      "\"headerTimeout\":\"3s\"}}]}"),
	INPUT("{\"version\":\"1\",\"resources\":[{\"entryKind\":\"services\",\"metadata\":{"
	      "\"name\":"
	      "\"s\"},\"specification\":{}},{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r\"}"
	      ","
	      "\"specification\":{\"host\":\"h.example\",\"prefix\":\"/a/\",\"kind\":\"safe\","
	      "\"weightedServices\":[{\"service\":\"s\",\"weight\":0.9},{\"service\":\"s\","
	      "\"weight\":1e308}]}}]}"),
};

/* The count of the first input does not fit into an integer. */
static const struct fuzz_input settings_seeds[] = {
	INPUT("bounds=budgetSlack=240000000000000000000000000\n"),
	INPUT("nodeName=n\nzone=z\nservice=s\nlistenAddresses.inbound=127.0.0.1:1\n"
	      "listenAddresses.outbound=127.0.0.1:2\nlistenAddresses.ready=127.0.0.1:3\n"
	      "listenAddresses.control=127.0.0.1:4\napplicationAddress=127.0.0.1:5\n"
	      "platform.address=127.0.0.1:6\nplatform.ttlMin=1000ms\nfirstStart=true\n"
	      "limits.memoryMb=260\ninternalPorts=7000,7015\n"
	      "bounds=revocation=5s,drain=2000ms,budgetRatio=0.2,budgetSlack=48,quotaSlack=20\n"),
};

static const struct fuzz_input report_seeds[] = {
	INPUT("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
	      "\"slots\":72,\"state\":\"ready\",\"coldRemaining\":\"1500ms\",\"sequence\":4,"
	      "\"born\":1700000000000}"),
};

static const struct fuzz_input entry_seeds[] = {
	INPUT("{\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"phase\":\"serving\",\"target\":\"t\","
	      "\"service\":\"s\",\"slots\":8,\"cold_ms\":1500}"),
};

static const struct fuzz_input job_seeds[] = {
	INPUT("1500 300 12 81985529216486895 1147797409030816545 2 700 1 0 t1 acme svc"),
	INPUT("1500 300 12 1234567890abcdef fedcba0987654321 2 700 1 0 t1 - svc"),
};

static const struct fuzz_input end_seeds[] = {
	INPUT("0 0 1 0 5 2 20 130 12 400"),
	INPUT("2 4 1 1 4294967295 0 1 1000 18446744073709551615 0"),
};

static const struct fuzz_input fetch_seeds[] = {
	INPUT("view 7 0 7 0"),
	INPUT("config 12"),
};

static const struct fuzz_input left_seeds[] = {
	INPUT("{\"node\":\"n\",\"address\":\"10.0.0.1:80\",\"left\":[{\"id\":\"t1\","
	      "\"started_until_ms\":1700000000000},{\"id\":\"t2\",\"started_until_ms\":4.0}]}"),
};

static const struct fuzz_input era_seeds[] = {
	INPUT("7"),
	INPUT("18446744073709551616"),
};

static const struct fuzz_input record_seeds[] = {
	INPUT("{\"schema\":1,\"rate_per_s\":50,\"burst\":20,\"priority\":1}"),
	INPUT("{\"schema\":1,\"account\":\"a\",\"hash\":\"00\",\"write_id\":\"w\"}"),
	INPUT("{\"schema\":1,\"share_slots\":8,\"autonomy_s\":60}"),
};

static const struct fuzz_input http_request_seeds[] = {
	INPUT("GET /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n"
	      "Content-Length: 3\r\n\r\nabcGET /c HTTP/1.1\r\nHost: h\r\nConnection: "
	      "close\r\n\r\n"),
	INPUT("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue"
	      "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
	INPUT("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\nabc"),
};

static const struct fuzz_input http_answer_seeds[] = {
	INPUT("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	      "Keep-Alive: timeout=5\r\n\r\nhello"),
	INPUT("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
	INPUT("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"),
	INPUT("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
	      "Content-Length: 0\r\n\r\n"),
	INPUT("HTTP/1.1 304 Not Modified\r\nContent-Length: 400000\r\n\r\n"),
};

#define TARGET(name, seeds)                                                \
	{                                                                  \
#name, run_##name, seeds, sizeof(seeds) / sizeof(*(seeds)) \
	}

static const struct fuzz_target fuzz_targets[] = {
	TARGET(keeper_message, keeper_seeds),
	TARGET(wire, wire_seeds),
	TARGET(config, config_seeds),
	TARGET(settings, settings_seeds),
	TARGET(report, report_seeds),
	TARGET(entry, entry_seeds),
	TARGET(peer_job, job_seeds),
	TARGET(peer_end, end_seeds),
	TARGET(fetch, fetch_seeds),
	TARGET(left, left_seeds),
	TARGET(era, era_seeds),
	TARGET(record, record_seeds),
	TARGET(http_request, http_request_seeds),
	TARGET(http_answer, http_answer_seeds),
};

#define FUZZ_TARGETS (sizeof(fuzz_targets) / sizeof(fuzz_targets[0]))

#endif
