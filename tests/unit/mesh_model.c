#include "mesh/model.h"

#include "briarreel/error.h"
#include "mesh/keeper_message.h"
#include "mesh/peer_format.h"
#include "platform/decode.h"

#include <criterion/criterion.h>
#include <string.h>

#define SERVICE(name)                                                       \
	"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"" name "\"}," \
	"\"specification\":{\"healthPath\":\"/h\",\"connectionLimit\":10}}"
#define ROUTE(name, prefix, priority, more)                               \
	"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"" name "\"}," \
	"\"specification\":{\"host\":\"H.example\",\"prefix\":\"" prefix  \
	"\",\"kind\":\"safe\",\"priority\":" priority "," more "}}"
#define ACCOUNT(name, key, priority)                                          \
	"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"" name "\"},"    \
	"\"specification\":{\"apiKeys\":[\"" key "\"],\"priority\":" priority \
	",\"ratePerS\":5.5,\"burst\":7}}"
#define CONFIG(version, entries) "{\"version\":\"" version "\",\"resources\":[" entries "]}"

static struct mesh_config *decode(const char *text)
{
	struct br_error err = {0};

	return platform_decode_config(text, strlen(text), &err);
}

Test(mesh_model, decodes_routes_before_their_services)
{
	struct mesh_config *c = decode(CONFIG(
		"0000000c",
		ROUTE("r", "/a/", "2",
		      "\"weightedServices\":[{\"service\":\"s1\",\"weight\":90}"
		      ","
		      "{\"service\":\"s2\",\"weight\":10}],\"timeout\":\"1."
		      "5s\"") "," SERVICE("s1") "," SERVICE("s2") "," ACCOUNT("acme", "k", "1")));

	cr_assert(c);
	cr_assert_eq(c->version, 12);
	cr_assert_eq(c->routes[0].n_weighted_services, 2);
	cr_assert_eq(c->routes[0].weighted_services[1].weight, 10);
	cr_assert_eq(c->routes[0].timeout_ms, 1500);
	cr_assert_eq(mesh_config_account(c, "k"), 0);
	cr_assert_eq(mesh_config_account(c, "kk"), -1);
	cr_assert_float_eq(c->accounts[0].rate_per_s, 5.5, 0.01);
	mesh_config_unref(c);
}

/* Guards against accepting a configuration of which a part cannot be used. */
Test(mesh_model, refuses_what_is_not_complete)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"version\":\"00000001\"}",
		"{\"version\":\"xyz\",\"resources\":[]}",
		CONFIG("00000001", ROUTE("r", "/a/", "1", "\"service\":\"unknown\"")),
		CONFIG("00000001", ROUTE("r", "/a/", "1", "\"timeout\":\"1s\"") "," SERVICE("s")),
		"{\"version\":\"00000001\",\"resources\":[",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_null(decode(bad[i]), "%s", bad[i]);
}

#define WEIGHTS(w1, w2)                                                                     \
	CONFIG("00000001", ROUTE("r", "/a/", "1",                                           \
				 "\"weightedServices\":[{\"service\":\"s1\",\"weight\":" w1 \
				 "},{\"service\":\"s2\",\"weight\":" w2                     \
				 "}]") "," SERVICE("s1") "," SERVICE("s2"))

/*
 * Guards against a configuration that is not read since a number in it is written in another way than
 * expected, with all later versions and the keys that they take away (review/11).
 */
Test(mesh_model, weights_are_any_numbers)
{
	static const struct {
		const char *text;
		/** Part of the requests that the first service gets. */
		double first;
	} rows[] = {
		{WEIGHTS("90", "10"), 0.9},
		{WEIGHTS("0.9", "0.1"), 0.9},
		{WEIGHTS("9.0", "1e0"), 0.9},
		{WEIGHTS("9E-7", "1.0e-7"), 0.9},
		{WEIGHTS("4294967296000", "4294967296000"), 0.5},
		{WEIGHTS("18446744073709551615", "18446744073709551615"), 0.5},
		{WEIGHTS("1e308", "1e999"), 0.5},
		{WEIGHTS("0", "1e-300"), 0},
		{WEIGHTS("3", "0.0"), 1},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct mesh_config *c = decode(rows[i].text);
		uint32_t first = 0;

		cr_assert(c, "row %zu", i);
		for (uint32_t k = 0; k < 1000; k++)
			first += mesh_route_choose_service(&c->routes[0], (k + 0.5) / 1000) == 0;
		cr_assert_float_eq(first / 1000.0, rows[i].first, 0.001, "row %zu: %u", i, first);
		mesh_config_unref(c);
	}
}

/* Guards against a service without a weight that gets requests, and against a division by none. */
Test(mesh_model, a_route_without_weights_has_no_service)
{
	struct mesh_config *c = decode(WEIGHTS("0", "0.0"));

	cr_assert(c);
	cr_assert_eq(mesh_route_choose_service(&c->routes[0], 0), -1);
	cr_assert_eq(mesh_route_choose_service(&c->routes[0], 0.999), -1);
	mesh_config_unref(c);
	cr_assert_null(decode(WEIGHTS("-1", "1")));
	cr_assert_null(decode(WEIGHTS("\"1\"", "1")));
}

/* Guards against numbers of a configuration that are taken for missing because of their spelling. */
Test(mesh_model, numbers_of_a_configuration_in_any_spelling)
{
	struct mesh_config *c = decode(CONFIG(
		"00000001",
		ROUTE("r", "/a/", "1.0",
		      "\"service\":\"s\",\"attempts\":3e0,\"timeout\":\"0.2ms\","
		      "\"latencyTarget\":\"1e30s\"") "," SERVICE("s") ","
								      "{\"entryKind\":\"tenants\","
								      "\"metadata\":{\"name\":"
								      "\"a\"},\"specification\":{"
								      "\"apiKeys\":[\"k\"],"
								      "\"priority\":2.0,"
								      "\"ratePerS\":1e999,"
								      "\"burst\":0.5e1}},"
								      "{\"entryKind\":\"tenants\","
								      "\"metadata\":{\"name\":"
								      "\"b\"},\"specification\":{"
								      "\"apiKeys\":[\"l\"],"
								      "\"ratePerS\":\"5\"}},"
								      "{\"entryKind\":\"limits\","
								      "\"metadata\":{},"
								      "\"specification\":{"
								      "\"headerBytes\":3.2768e4,"
								      "\"bodyBytes\":1e30}}"));

	cr_assert(c);
	cr_assert_eq(c->routes[0].attempts, 3);
	cr_assert_eq(c->routes[0].priority, 1);
	/* 0 would be no timeout at all. */
	cr_assert_eq(c->routes[0].timeout_ms, 1);
	cr_assert_gt(c->routes[0].objective_ms, 1000ULL * 3600 * 24 * 365);
	cr_assert(c->accounts[0].has_priority);
	cr_assert_eq(c->accounts[0].priority, 2);
	cr_assert_gt(c->accounts[0].rate_per_s, 1e200);
	cr_assert_eq(c->accounts[0].burst, 5);
	cr_assert_not(c->accounts[0].limit_unreadable);
	/* A rate that can't be read is not "no limit". */
	cr_assert(c->accounts[1].limit_unreadable);
	cr_assert_eq(c->header_bytes, 32768);
	cr_assert_eq(c->body_bytes, UINT64_MAX);
	mesh_config_unref(c);
}

/* Guards against reports that are refused since their numbers have a point or an exponent. */
Test(mesh_model, numbers_of_a_report_in_any_spelling)
{
	static const char text[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":7.2e1,\"state\":"
		"\"ready\",\"sequence\":4.0,\"born\":1.7e12}";
	struct target_report r = {0};
	struct br_error err = {0};

	cr_assert_eq(platform_decode_report(text, strlen(text), &r, &err), 0);
	cr_assert_eq(r.slots, 72);
	cr_assert_eq(r.sequence, 4);
	cr_assert_eq(r.incarnation_start_ms, 1700000000000ULL);
}

Test(mesh_model, longest_prefix_of_the_host_wins)
{
	struct mesh_config *c = decode(CONFIG(
		"00000001", ROUTE("short", "/a/", "1", "\"service\":\"s\"") "," ROUTE(
				    "long", "/a/b/", "1", "\"service\":\"s\"") "," SERVICE("s")));

	cr_assert_str_eq(mesh_config_route(c, "h.EXAMPLE:80", "/a/b/c")->name, "long");
	cr_assert_str_eq(mesh_config_route(c, "h.example", "/a/c")->name, "short");
	cr_assert_null(mesh_config_route(c, "h.example", "/a"));
	cr_assert_null(mesh_config_route(c, "other", "/a/c"));
	mesh_config_unref(c);
}

/* Guards against ignoring the priorities of routes between accounts of equal priority. */
Test(mesh_model, ranks_by_account_then_by_route)
{
	struct mesh_config *c = decode(CONFIG(
		"00000001",
		ROUTE("low", "/l/", "2", "\"service\":\"s\"") "," ROUTE(
			"high", "/h/", "0",
			"\"service\":\"s\"") "," SERVICE("s") "," ACCOUNT("a", "ka",
									  "1") "," ACCOUNT("b",
											   "kb",
											   "0")));
	const struct mesh_route *low = &c->routes[0], *high = &c->routes[1];
	const struct mesh_account *a = &c->accounts[0], *b = &c->accounts[1];

	cr_assert_lt(mesh_config_rank(c, high, a), mesh_config_rank(c, low, a));
	cr_assert_lt(mesh_config_rank(c, low, b), mesh_config_rank(c, high, a));
	cr_assert_lt(mesh_config_rank(c, low, a), MESH_RANKS);
	mesh_config_unref(c);
}

Test(mesh_model, reads_reports_and_refuses_others)
{
	static const char good[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,"
		"\"state\":\"ready\",\"coldRemaining\":\"1.5s\",\"sequence\":3,\"born\":99,\"new\":"
		"1}";
	static const char *const bad[] = {
		"{}",
		"nonsense",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":4,\"state\":\"other\","
		"\"sequence\":3}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\",\"slots\":4,\"state\":\"ready\","
		"\"sequence\":3}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1\",\"slots\":4,\"state\":\"ready\","
		"\"sequence\":3}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":\"4\",\"state\":"
		"\"ready\","
		"\"sequence\":3}",
	};
	struct target_report r = {0};
	struct br_error err = {0};

	cr_assert_eq(platform_decode_report(good, strlen(good), &r, &err), 0);
	cr_assert_eq(r.cold_ms, 1500);
	cr_assert_eq(r.incarnation_start_ms, 99);
	cr_assert_eq(r.state, REPORTED_READY);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_lt(platform_decode_report(bad[i], strlen(bad[i]), &r, &err), 0, "%s",
			     bad[i]);
}

#define SETTINGS                                                                 \
	"nodeName=n\nzone=z\nservice=s\nlistenAddresses.outbound=10.0.0.1:1\n"   \
	"listenAddresses.inbound=10.0.0.1:2\nlistenAddresses.ready=10.0.0.1:3\n" \
	"listenAddresses.control=10.0.0.1:4\napplicationAddress=10.0.0.1:5\n"    \
	"platform.address=10.0.0.2:6\nplatform.ttlMin=1000ms\n"                  \
	"internalPorts=7000,7015\nfuture=1\n"
#define BOUNDS                                                                 \
	"bounds=drain=2s,grace=6s,configPropagation=2000ms,revocation=5000ms," \
	"budgetRatio=0.2,budgetWindow=10s,budgetSlack=48,strictRevocation=true\n"

Test(mesh_model, reads_settings_and_reports_faults)
{
	struct mesh_settings s;
	struct br_error err = {0};

	cr_assert_eq(platform_parse_settings("f", SETTINGS BOUNDS, &s, &err), 0, "%s", err.detail);
	cr_assert_eq(s.mesh_port, 7000);
	cr_assert_eq(s.drain_ms, 2000);
	/* The bounds are optional, the addresses are required. */
	cr_assert_eq(platform_parse_settings("f", SETTINGS, &s, &err), 0);
	cr_assert_gt(s.revocation_ms, 0);
	cr_assert_lt(
		platform_parse_settings("f", BOUNDS "nodeName=n\ninternalPorts=1,2\n", &s, &err),
		0);
	cr_assert(strstr(err.detail, "f: ") && strstr(err.detail, "missing"));
	cr_assert_lt(platform_parse_settings("f", SETTINGS BOUNDS "zone=\n", &s, &err), 0);
	cr_assert_str_eq(err.detail, "f: zone: \"\" is not valid");
	cr_assert_lt(platform_parse_settings("f", SETTINGS BOUNDS "internalPorts=9,1\n", &s, &err),
		     0);
}

/* A node must decode exactly what another one encoded, also with empty texts. */
Test(mesh_model, jobs_and_ends_round_trip)
{
	struct job job = {.id = "i",
			  .target = "t",
			  .account = "",
			  .caller_service = "svc",
			  .service = "wanted",
			  .account_hash = UINT64_MAX,
			  .route_hash = 5,
			  .deadline_us = 1500 * BR_US_PER_MS,
			  .queue_until_us = 200 * BR_US_PER_MS,
			  .rank = 3,
			  .shed_order = UINT16_MAX,
			  .is_call = true};
	struct peer_end end = {.result = JOB_NOT_RUN,
			       .reason = JOB_REASON_TARGET_REFUSED,
			       .reached = true,
			       .in_flight = 3,
			       .queued = 4,
			       .limit = 5,
			       .failed_permille = 8,
			       .version = 6,
			       .confirmation_age_ms = 7};
	struct peer_end decoded_end;
	struct peer_job decoded;
	struct buf b = {0};

	peer_write_job(&b, &job, 9, 500 * BR_US_PER_MS);
	cr_assert_eq(peer_read_job(buf_cstr(&b) + strlen(PEER_JOB_FIELD ": "), &decoded), 0);
	cr_assert_eq(decoded.time_left_ms, 1000);
	cr_assert_eq(decoded.queue_time_ms, 0);
	cr_assert_eq(decoded.rank, 3);
	cr_assert_eq(decoded.shed_order, UINT16_MAX);
	cr_assert(decoded.is_call);
	cr_assert_not(decoded.idempotent);
	cr_assert_str_eq(decoded.account, "");
	cr_assert_str_eq(decoded.target, "t");
	cr_assert_str_eq(decoded.service, "wanted");
	cr_assert_eq(decoded.account_hash, UINT64_MAX);
	peer_job_clear(&decoded);
	buf_free(&b);
	peer_write_end(&b, &end);
	cr_assert_eq(peer_read_end(buf_cstr(&b) + strlen(PEER_END_FIELD ": "), &decoded_end), 0);
	cr_assert_eq(decoded_end.reason, JOB_REASON_TARGET_REFUSED);
	cr_assert_eq(decoded_end.limit, 5);
	cr_assert_eq(decoded_end.failed_permille, 8);
	cr_assert_eq(decoded_end.confirmation_age_ms, 7);
	cr_assert(decoded_end.reached);
	cr_assert_lt(peer_read_end("9 none 0 0 0 0 0 0 0", &decoded_end), 0);
	cr_assert_lt(peer_read_job("1 2 3", &decoded), 0);
	/* A node of an earlier version names no service. */
	cr_assert_eq(peer_read_job("1 2 3 4 5 0 9 1 0 a b c", &decoded), 0);
	cr_assert_str_eq(decoded.service, "");
	peer_job_clear(&decoded);
	cr_assert_lt(peer_read_job("1 2 3 4 5 0 65536 1 0 a b c", &decoded), 0);
	buf_free(&b);
}

/*
 * Guards against a request that runs as another account, since a name between blanks moved the names
 * behind it or was cut (review/10).
 */
Test(mesh_model, any_name_goes_to_another_node_as_it_is)
{
	static char longest[1000];
	static const char *const names[] = {"north",	   "north shop", " x ", "a\tb",
					    "100%",	   "%20",	 "-",	"--",
					    "n\xc3\xb6rd", "\r\nX: y",	 "",	longest};
	struct job job = {.target = "t"};
	struct peer_job decoded;
	struct buf b = {0};

	memset(longest, 'n', sizeof(longest) - 1);
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		job.account = names[i];
		job.caller_service = names[(i + 1) % (sizeof(names) / sizeof(names[0]))];
		job.service = names[(i + 2) % (sizeof(names) / sizeof(names[0]))];
		peer_write_job(&b, &job, 9, 0);
		/* The line ends where the field ends. */
		cr_assert_str_eq(buf_cstr(&b) + b.len - 2, "\r\n");
		b.data[b.len - 2] = '\0';
		cr_assert_null(strpbrk(b.data, "\r\n\t"));
		cr_assert_eq(peer_read_job(b.data + strlen(PEER_JOB_FIELD ": "), &decoded), 0,
			     "name %zu", i);
		cr_assert_str_eq(decoded.account, job.account);
		cr_assert_str_eq(decoded.caller_service, job.caller_service);
		cr_assert_str_eq(decoded.service, job.service);
		cr_assert_str_eq(decoded.target, "t");
		peer_job_clear(&decoded);
		buf_free(&b);
	}
}

Test(mesh_model, malformed_names_of_a_job_are_refused)
{
	static const char *const odd[] = {
		"1 2 3 4 5 0 9 1 0 a b",       "1 2 3 4 5 0 9 1 0 a % c",
		"1 2 3 4 5 0 9 1 0 a %2 c",    "1 2 3 4 5 0 9 1 0 a %zz c",
		"1 2 3 4 5 0 9 1 0 a %00 c",   "1 2 3 4 5 0 9 1 0 a %+1 c",
		"1 2 3 4 5 0 9 1 0 a b c %xx", "1 2 3 4 5 0 9 1 0"};
	struct peer_job decoded;

	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		cr_assert_lt(peer_read_job(odd[i], &decoded), 0, "\"%s\"", odd[i]);
	/* A later version may send more. */
	cr_assert_eq(peer_read_job("1 2 3 4 5 0 9 1 0 a b c d e", &decoded), 0);
	cr_assert_str_eq(decoded.service, "d");
	peer_job_clear(&decoded);
}

/* Guards against accepting datagrams that are truncated, too long or of another protocol. */
Test(mesh_model, keeper_messages_round_trip)
{
	struct keeper_message m = {.type = KEEPER_REQUEST,
				   .node_hash = UINT64_MAX,
				   .requested_us = 1,
				   .version = 2,
				   .confirmation_age_ms = 3,
				   .store_reachable = true,
				   .incarnation = UINT32_MAX,
				   .view_changes = 5,
				   .n_rows = KEEPER_ROWS_MAX};
	struct keeper_message decoded;
	char bytes[KEEPER_MESSAGE_BYTES + 1];
	size_t len;

	for (uint32_t i = 0; i < m.n_rows; i++)
		m.rows[i] = (struct keeper_row){.account_hash = UINT64_MAX - i,
						.tokens = i,
						.debt = {.spent = UINT32_MAX - i, .charged = i}};
	len = keeper_message_write(&m, bytes, KEEPER_MESSAGE_BYTES);
	cr_assert_gt(len, 0);
	cr_assert_eq(keeper_message_read(bytes, len, &decoded), 0);
	cr_assert_eq(decoded.node_hash, m.node_hash);
	cr_assert(decoded.store_reachable);
	cr_assert_eq(decoded.incarnation, m.incarnation);
	cr_assert_eq(decoded.n_rows, m.n_rows);
	cr_assert_eq(decoded.rows[7].account_hash, UINT64_MAX - 7);
	cr_assert_eq(decoded.rows[7].tokens, 7);
	cr_assert_eq(decoded.rows[7].debt.spent, UINT32_MAX - 7);
	cr_assert_eq(decoded.rows[7].debt.charged, 7);
	for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
		cr_assert_lt(keeper_message_read(bytes, truncated_len, &decoded), 0);
	bytes[len] = 0;
	cr_assert_lt(keeper_message_read(bytes, len + 1, &decoded), 0);
	m.type = (enum keeper_message_type)9;
	len = keeper_message_write(&m, bytes, KEEPER_MESSAGE_BYTES);
	cr_assert_lt(keeper_message_read(bytes, len, &decoded), 0);
}

/* Guards against a name or key that is cut at a NUL character, or that ends a header field. */
Test(mesh_model, accounts_that_cannot_be_sent)
{
	static const char text[] =
		"{\"version\":\"1\",\"resources\":["
		"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"north shop\"},"
		"\"specification\":{\"apiKeys\":[\"k1\",\"k2\\u0000x\",7]}},"
		"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"north\\u0000shop\"},"
		"\"specification\":{\"apiKeys\":[\"k3\"]}},"
		"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"north\\r\\nX-Field: v\"},"
		"\"specification\":{}},"
		"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"north "
		"\"},\"specification\":{}},"
		"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"\"},\"specification\":{}}]}";
	struct br_error err = {0};
	struct mesh_config *c = platform_decode_config(text, sizeof(text) - 1, &err);

	cr_assert(c);
	cr_assert_eq(c->n_accounts, 5);
	cr_assert(c->accounts[0].is_sendable);
	for (uint32_t i = 1; i < c->n_accounts; i++)
		cr_assert_not(c->accounts[i].is_sendable, "account %u", i);
	cr_assert_eq(mesh_config_account(c, "k1"), 0);
	cr_assert_eq(mesh_config_account(c, "k2"), -1);
	cr_assert_eq(mesh_config_account(c, "k3"), 1);
	mesh_config_unref(c);
}
