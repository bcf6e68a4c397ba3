/* Input that is not well-formed, from other writers of the store, other nodes and targets. */
#include "briarreel/error.h"
#include "common/clock.h"
#include "common/json.h"
#include "common/msgpack_check.h"
#include "mesh/keeper_message.h"
#include "mesh/members.h"
#include "net/conn_pool.h"
#include "platform/decode.h"
#include "platform/store.h"
#include "tests/unit/fake_server.h"

#include <criterion/criterion.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const char *const good_entry =
	"{\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"phase\":\"serving\","
	"\"target\":\"t1\",\"service\":\"s\",\"slots\":8}";

/* --- Messages between nodes --- */

/* A container that announces more than the message holds makes the decoder ask for its memory. */
Test(mesh_odd_input, message_announces_more_than_it_holds)
{
	static const char huge_array[] = "\x85\xdd\x8d\x9a\x89\x96\xb5\xcd\x7d";
	static const char nested_map[] = "\x91\xdf\xff\xff\xff\xff";
	static const char long_text[] = "\x91\xdb\xff\xff\xff\xff";
	struct keeper_message m;

	cr_assert_not(msgpack_is_complete(huge_array, sizeof(huge_array) - 1));
	cr_assert_not(msgpack_is_complete(nested_map, sizeof(nested_map) - 1));
	cr_assert_not(msgpack_is_complete(long_text, sizeof(long_text) - 1));
	cr_assert_eq(keeper_message_read(huge_array, sizeof(huge_array) - 1, &m), -EBADMSG);
}

Test(mesh_odd_input, message_is_accepted_whole_only)
{
	struct keeper_message in = {.type = KEEPER_REQUEST, .node_hash = UINT64_MAX, .n_rows = 2};
	struct keeper_message out;
	char bytes[KEEPER_MESSAGE_BYTES];
	size_t len;

	in.rows[1] = (struct keeper_row){.account_hash = 300, .tokens = 70000};
	len = keeper_message_write(&in, bytes, sizeof(bytes));
	cr_assert_gt(len, 0);
	cr_assert_eq(keeper_message_read(bytes, len, &out), 0);
	cr_assert_eq(out.rows[1].tokens, 70000);
	for (size_t i = 0; i < len; i++)
		cr_assert_eq(keeper_message_read(bytes, i, &out), -EBADMSG, "%zu bytes", i);
	cr_assert_not(msgpack_is_complete("\xc1", 1));
	cr_assert(msgpack_is_complete("\x82\xa1k\xc0\xa1l\xc4\x02xy", 10));
}

/* --- Entries of the members --- */

static struct members *create_members(struct board *board, struct mesh_settings *settings)
{
	*board = (struct board){.loop = uv_default_loop(), .settings = settings};
	board->balance = br_balance_create(0);
	cr_assert(board->balance);
	return members_create(board);
}

static void destroy_members(struct members *ms, struct board *board)
{
	members_destroy(ms);
	br_balance_destroy(board->balance);
}

static char *nested_json(size_t depth)
{
	char *text = xcalloc(1, 8 * depth + 1);

	for (size_t i = 0; i < depth; i++)
		memcpy(text + 5 * i, "{\"a\":", 5);
	memset(text + 5 * depth, '}', depth);
	return text;
}

#define ENTRY(address, more)                                                               \
	"{\"address\":" address ",\"zone\":\"a\",\"phase\":\"serving\",\"target\":\"t2\"," \
	"\"service\":\"s\"," more "}"
#define X16 "xxxxxxxxxxxxxxxx"
#define X80 X16 X16 X16 X16 X16

/* None of these is used, and the members that were known before stay as they were. */
Test(mesh_odd_input, odd_entry_leaves_the_others)
{
	static const char *const odd[] = {
		"",
		"[]",
		"null",
		"{",
		"{\"address\":null}",
		ENTRY("\"10.0.0.2:0\"", "\"slots\":8"),
		ENTRY("\"10.0.0.2:70000\"", "\"slots\":8"),
		ENTRY("\"10.0.0.2:8080x\"", "\"slots\":8"),
		ENTRY("\"10.0.0.2: 80\"", "\"slots\":8"),
		ENTRY("\"10.0.0.2:+80\"", "\"slots\":8"),
		ENTRY("\"10.0.0.2:-1\"", "\"slots\":8"),
		ENTRY("{}", "\"slots\":8"),
		ENTRY("\"10.0.0.2:80\"", "\"slots\":4294967304"),
		ENTRY("\"10.0.0.2:80\"", "\"slots\":-8"),
		ENTRY("\"10.0.0.2:80\"", "\"slots\":1e999"),
		ENTRY("\"10.0.0.2:80\"", "\"slots\":8,\"cold_ms\":18446744073709551615"),
		ENTRY("\"10.0.0.2:80\"", "\"slots\":8,\"cold_ms\":18446744073709551"),
		ENTRY("\"10.0.0.2:80\"", "\"target\":\"" X80 "\",\"slots\":8"),
		ENTRY("\"10.0.0.2:80\"", "\"target\":null,\"slots\":8"),
		ENTRY("\"10.0.0.2:80\"", "\"service\":[\"s\"],\"slots\":8"),
		ENTRY("\"10.0.0.2:80\"", "\"zone\":\"" X80 "\",\"slots\":8"),
	};
	struct mesh_settings settings = {.node = "self"};
	struct board board;
	struct members *ms = create_members(&board, &settings);
	char *deep = nested_json(10000);

	cr_assert(members_put(ms, "n1", good_entry, strlen(good_entry)));
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		cr_expect_not(members_put(ms, "n2", odd[i], strlen(odd[i])), "%s", odd[i]);
		cr_expect_not(members_put(ms, "n1", odd[i], strlen(odd[i])), "%s", odd[i]);
	}
	cr_assert_not(members_put(ms, "n2", deep, strlen(deep)));
	cr_assert_not(members_put(ms, "", good_entry, strlen(good_entry)));
	/* A name that is cut off would be added again with each change. */
	cr_assert_not(members_put(ms, X80, good_entry, strlen(good_entry)));
	cr_assert_eq(members_count(ms), 1);
	cr_assert_str_eq(members_at(ms, 0)->target.id, "t1");
	cr_assert_eq(members_at(ms, 0)->target.slots, 8);
	cr_assert_eq(members_at(ms, 0)->target.phase, TARGET_SERVING);
	free(deep);
	destroy_members(ms, &board);
}

Test(mesh_odd_input, number_beyond_a_double_is_none)
{
	static const char text[] = "{\"a\":1e999,\"b\":2.5}";
	struct json_object *o = json_parse_object(text, strlen(text));
	double n = 0;

	cr_assert(o);
	cr_assert_not(json_member_number(o, "a", &n));
	cr_assert(json_member_number(o, "b", &n));
	json_object_put(o);
}

/* --- Settings --- */

#define SETTINGS(more)                                                              \
	"nodeName=n\nzone=z\nservice=s\nlistenAddresses.inbound=127.0.0.1:1\n"      \
	"listenAddresses.outbound=127.0.0.1:2\nlistenAddresses.ready=127.0.0.1:3\n" \
	"listenAddresses.control=127.0.0.1:4\napplicationAddress=127.0.0.1:5\n"     \
	"platform.address=127.0.0.1:6\ninternalPorts=7000,7015\n" more

static int parse_memory(const char *text, struct mesh_settings *out)
{
	struct br_error err = {0};

	return platform_parse_settings("test", text, out, &err);
}

/* A bound of 0 would refuse every request; a number that does not fit is an error. */
Test(mesh_odd_input, memory_setting)
{
	struct mesh_settings s;

	cr_assert_eq(parse_memory(SETTINGS("limits.memoryMb=160\n"), &s), 0);
	cr_assert_eq(s.memory_mb, 160);
	cr_assert_eq(parse_memory(SETTINGS("limits.memoryMb=0\n"), &s), 0);
	cr_assert_eq(s.memory_mb, 256);
	cr_assert_eq(parse_memory(SETTINGS(""), &s), 0);
	cr_assert_eq(s.memory_mb, 256);
	cr_assert_neq(parse_memory(SETTINGS("limits.memoryMb=2.4e26\n"), &s), 0);
	cr_assert_neq(parse_memory(SETTINGS("limits.memoryMb=-1\n"), &s), 0);
	cr_assert_neq(parse_memory(SETTINGS("bounds=budgetSlack=nan\n"), &s), 0);
}

/* --- Items of the store --- */

struct page {
	bool done;
	enum store_result result;
	size_t n_items, n_readable;
	char next[STORE_KEY_BYTES];
};

static void on_page(void *arg, const struct store_reply *r)
{
	struct page *p = arg;
	const char *next = store_next_page(r);

	p->done = true;
	p->result = r->result;
	p->n_items = r->n_items;
	for (size_t i = 0; i < r->n_items; i++)
		p->n_readable += r->items[i].value != NULL;
	br_copy_text(p->next, sizeof(p->next), next ? next : "");
}

#define PAGE(length, items)                                                            \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " length \
	"\r\n\r\n{\"at\":7,\"hasMore\":true,\"items\":[" items "]}"

/*
 * One unreadable item must not keep the others of its page from being used, nor the next page from
 * being read.
 */
Test(mesh_odd_input, unreadable_item_leaves_the_rest_of_the_page)
{
	struct server s = {
		.answer =
			PAGE("228", "{\"key\":\"mesh/node/a\",\"value\":\"e30=\",\"revision\":3},"
				    "{\"value\":\"e30=\"},"
				    "{\"key\":\"mesh/node/b\"},"
				    "{\"key\":\"mesh/node/c\",\"value\":7},[],null,"
				    "{\"key\":\"mesh/node/d &%\",\"value\":\"@@@\",\"revision\":4,"
				    "\"lease\":1e999}")};
	struct page page = {0};
	struct store *store;

	cr_assert_geq(sodium_init(), 0);
	start_server(&s);
	store = store_create(s.loop, &s.addr);
	store_range(store, "mesh/", "", 1000, on_page, &page);
	run_until(&s, &page.done);
	cr_assert_eq(page.result, STORE_OK);
	cr_assert_eq(page.n_items, 4);
	cr_assert_eq(page.n_readable, 1);
	cr_assert_str_eq(page.next, "mesh/node/d &%");
	page.done = false;
	store_range(store, "mesh/", page.next, 1000, on_page, &page);
	run_until(&s, &page.done);
	cr_assert_str_eq(s.target, "/kv-range?prefix=mesh/&after=mesh/node/d%20%26%25");
	store_destroy(store);
}

static enum store_result renew_lease_with(const char *answer)
{
	struct server s = {.answer = answer, .closes = true};
	struct page page = {0};
	struct store *store;

	start_server(&s);
	store = store_create(s.loop, &s.addr);
	store_renew_lease(store, 7, 1000, on_page, &page);
	run_until(&s, &page.done);
	store_destroy(store);
	return page.result;
}

#define ODD_ANSWER(line, fields, body) line "\r\n" fields "Content-Length: 2\r\n\r\n" body

/*
 * Guards against bytes that are no answer and are believed: a lease that is given up because such a
 * status says that it has ended, or a read whose items are taken.
 */
Test(mesh_odd_input, invalid_answer_of_the_store_tells_nothing)
{
	static const char *const answers[] = {
		ODD_ANSWER("HTTP/1.1 404 Not Found", "X-Field: \x01\r\n", "{}"),
		ODD_ANSWER("HTTP/1.1 0404 Not Found", "", "{}"),
		ODD_ANSWER("HTTP/1.1 412 Conflict\x01", "", "{}"),
		ODD_ANSWER("HTTP/1.1 503 Busy", "\r", "{}"),
		ODD_ANSWER("HTTP/2.0 200 OK", "", "{}"),
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++)
		cr_expect_eq(renew_lease_with(answers[i]), STORE_UNKNOWN, "%s", answers[i]);
}

#define STORE_BODY(length, body) "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body

/*
 * Guards against a success of the store whose body can't be read: taken for a success, it would
 * confirm a configuration or a list of members that nobody has read.
 */
Test(mesh_odd_input, unreadable_success_of_the_store_tells_nothing)
{
	static const char *const answers[] = {
		STORE_BODY("0", ""),	 STORE_BODY("7", "{\"at\":7"), STORE_BODY("2", "[]"),
		STORE_BODY("4", "null"), STORE_BODY("6", "<html>"),
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct server s = {.answer = answers[i]};
		struct page page = {0};
		struct store *store;

		start_server(&s);
		store = store_create(s.loop, &s.addr);
		store_range(store, "mesh/", "", 1000, on_page, &page);
		run_until(&s, &page.done);
		cr_expect_eq(page.result, STORE_UNKNOWN, "%s", answers[i]);
		store_destroy(store);
	}
}

/* A renewal may be answered without a body. */
Test(mesh_odd_input, success_without_a_body_counts_for_a_write)
{
	cr_assert_eq(renew_lease_with(STORE_BODY("0", "")), STORE_OK);
}

/* --- Bytes without end --- */

#define CALLS 24
#define CALL_TIMEOUT_MS 1500

struct calls {
	struct http_call calls[CALLS];
	struct http_budget budget;
	size_t held_max_bytes;
	uint32_t n_ended, n_answered;
	bool done;
};

static struct calls *active;

static enum http_answer_match belongs_to_another(struct http_call *call, const struct http_msg *m)
{
	(void)call;
	(void)m;
	return HTTP_ANSWER_OTHER;
}

static void on_call_done(struct http_call *call, enum http_call_result result, struct http_msg *m,
			 int err)
{
	(void)call;
	(void)err;
	active->n_answered += result == HTTP_CALL_ANSWERED;
	active->done = ++active->n_ended == CALLS;
	http_msg_destroy(m);
}

static void on_sample(void *arg)
{
	struct calls *c = arg;

	if (c->budget.held_bytes > c->held_max_bytes)
		c->held_max_bytes = c->budget.held_bytes;
}

/* Sends calls to a server that never stops, and checks that all end early and hold little. */
static void run_endless(const char *answer, const char *endless, bool foreign)
{
	struct server s = {.answer = answer, .endless = endless};
	struct calls c = {.budget = {.limit_bytes = 256 * 1024}};
	struct conn_pool_cfg cfg = {
		.limits = {.header_bytes = 65536, .body_bytes = 64 * 1024, .budget = &c.budget},
		.connect_timeout_ms = 1000,
		.idle_ms = 1000,
		.idle_max = CALLS,
	};
	uint64_t started_us = clock_now_us();
	struct conn_pool *pool;
	struct timer *sample;

	start_server(&s);
	cfg.addr = s.addr;
	pool = conn_pool_create(s.loop, &cfg);
	active = &c;
	sample = timer_repeat(s.loop, 1, on_sample, &c);
	for (int i = 0; i < CALLS; i++) {
		struct buf b = {0};

		c.calls[i] = (struct http_call){.done = on_call_done,
						.match = foreign ? belongs_to_another : NULL,
						.timeout_ms = CALL_TIMEOUT_MS};
		buf_append_text(&b, "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
		conn_pool_send(pool, &c.calls[i], &b);
	}
	run_until(&s, &c.done);
	timer_cancel(&sample);
	cr_expect_eq(c.n_answered, 0);
	cr_expect_leq(c.held_max_bytes, c.budget.limit_bytes);
	cr_expect_eq(c.budget.held_bytes, 0);
	cr_expect_eq(conn_pool_open_count(pool), 0);
	/* The bytes alone end a call; its deadline need not. */
	cr_expect_lt(clock_now_us() - started_us, CALL_TIMEOUT_MS * BR_US_PER_MS);
	conn_pool_destroy(pool);
}

Test(mesh_odd_input, answer_head_without_end)
{
	run_endless("HTTP/1.1 200 OK\r\nX-A: ", X80 X80 X80 X80, false);
}

Test(mesh_odd_input, answer_fields_without_end)
{
	run_endless("HTTP/1.1 200 OK\r\n", "X-A: " X80 "\r\n", false);
}

Test(mesh_odd_input, answer_body_without_end)
{
	run_endless("HTTP/1.1 200 OK\r\n\r\n", X80 X80 X80 X80, false);
}

Test(mesh_odd_input, answer_chunks_without_end)
{
	run_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "50\r\n" X80 "\r\n",
		    false);
}

Test(mesh_odd_input, answer_reason_without_end)
{
	run_endless("HTTP/1.1 200 ", X80 X80 X80 X80, false);
}

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

Test(mesh_odd_input, answer_chunk_size_without_end)
{
	run_endless(CHUNKED_HEAD, "00000000000000000000000000000000", false);
}

Test(mesh_odd_input, answer_chunk_extension_without_end)
{
	run_endless(CHUNKED_HEAD "1;a=\"", X80 X80 X80 X80, false);
}

Test(mesh_odd_input, answer_trailers_without_end)
{
	run_endless(CHUNKED_HEAD "0\r\n", "X-A: " X80 "\r\n", false);
}

Test(mesh_odd_input, answer_of_no_protocol_without_end)
{
	run_endless(X80, X80, false);
}

Test(mesh_odd_input, interim_answers_without_end)
{
	run_endless("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", false);
}

Test(mesh_odd_input, answers_to_others_without_end)
{
	run_endless("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", true);
}
