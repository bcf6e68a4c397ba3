/* Calls to the store when it comes back from an older copy, which the era in its answers tells. */
#include "platform/store.h"
#include "tests/unit/fake_server.h"

#define ANSWER(era, line, length, body) \
	"HTTP/1.1 " line "\r\n" era "Content-Length: " length "\r\n\r\n" body
#define ERA(n) "Store-Era: " n "\r\n"
#define ITEM(era) \
	ANSWER(era, "200 OK", "48", "{\"key\":\"k\",\"value\":\"e30=\",\"revision\":41,\"at\":50}")
#define NO_EVENTS(era) ANSWER(era, "200 OK", "21", "{\"events\":[],\"at\":50}")
#define NO_ITEMS(era) ANSWER(era, "200 OK", "20", "{\"items\":[],\"at\":50}")

struct reply {
	bool done;
	enum store_result result;
	struct br_position position;
};

struct fixture {
	struct server server;
	struct store *store;
	uint32_t n_changes;
	uint64_t from, to;
	/** A call that waits while others are answered. */
	struct reply pending;
	/** The pending call had ended when the change was told. */
	bool ended_before;
};

static void on_reply(void *arg, const struct store_reply *r)
{
	struct reply *out = arg;

	*out = (struct reply){.done = true, .result = r->result, .position = r->position};
}

static void on_era(void *ctx, uint64_t from, uint64_t to)
{
	struct fixture *f = ctx;

	f->n_changes++;
	f->from = from;
	f->to = to;
	f->ended_before = f->pending.done;
}

static void set_up(struct fixture *f)
{
	*f = (struct fixture){0};
	start_server(&f->server);
	f->store = store_create(f->server.loop, &f->server.addr);
	store_set_era_observer(f->store, on_era, f);
}

static void tear_down(struct fixture *f)
{
	store_destroy(f->store);
	uv_run(f->server.loop, UV_RUN_NOWAIT);
}

static struct reply get(struct fixture *f, const char *answer)
{
	struct reply r = {0};

	f->server.answer = answer;
	store_get(f->store, "k", 1000, on_reply, &r);
	run_until(&f->server, &r.done);
	return r;
}

static struct reply watch(struct fixture *f, struct br_position after, const char *answer)
{
	struct reply r = {0};

	f->server.answer = answer;
	store_watch(f->store, "k", &after, 1, 1000, on_reply, &r);
	run_until(&f->server, &r.done);
	return r;
}

/* Guards against what was seen before the store's return and stays in use: no call goes on as before. */
Test(mesh_store, change_of_era_is_told_by_any_answer)
{
	static const char *const answers[] = {
		ITEM(ERA("6")),
		ANSWER(ERA("6"), "404 Not Found", "2", "{}"),
		ANSWER(ERA("6"), "410 Gone", "2", "{}"),
		ANSWER(ERA("6"), "412 Precondition Failed", "2", "{}"),
		ANSWER(ERA("6"), "429 Too Many Requests", "0", ""),
		ANSWER(ERA("6"), "503 Service Unavailable", "0", ""),
		ANSWER(ERA("6"), "200 OK", "3", "odd"),
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		const struct br_position after = {.era = 5, .revision = 50};
		struct fixture f;

		set_up(&f);
		cr_assert_eq(get(&f, ITEM(ERA("5"))).result, STORE_OK);
		cr_assert_eq(f.n_changes, 0);
		f.server.answer = "";
		store_watch(f.store, "k", &after, 20000, 21000, on_reply, &f.pending);
		while (f.server.n_requests < 2)
			uv_run(f.server.loop, UV_RUN_ONCE);
		get(&f, answers[i]);
		cr_assert_eq(f.n_changes, 1, "answer %zu", i);
		cr_assert_eq(f.from, 5);
		cr_assert_eq(f.to, 6);
		cr_assert(f.ended_before, "answer %zu", i);
		cr_assert_eq(f.pending.result, STORE_COMPACTED, "answer %zu", i);
		cr_assert_eq(store_era(f.store), 6);
		tear_down(&f);
	}
}

static void send_get(struct store *s, struct reply *r)
{
	store_get(s, "k", 1000, on_reply, r);
}

static void send_range(struct store *s, struct reply *r)
{
	store_range(s, "k", "", 1000, on_reply, r);
}

static void send_watch(struct store *s, struct reply *r)
{
	store_watch(s, "k", &(struct br_position){5, 50}, 1, 1000, on_reply, r);
}

static void send_put(struct store *s, struct reply *r)
{
	store_put(s, &(struct store_put){.key = "k", .value = "v", .len = 1}, NULL, 1000, on_reply,
		  r);
}

static void send_grant(struct store *s, struct reply *r)
{
	store_grant_lease(s, 3000, 1000, on_reply, r);
}

static void send_renewal(struct store *s, struct reply *r)
{
	store_renew_lease(s, 7, 1000, on_reply, r);
}

static void send_end(struct store *s, struct reply *r)
{
	store_end_lease(s, 7, 1000, on_reply, r);
}

/* Guards against a kind of call whose answer is not looked at. */
Test(mesh_store, change_of_era_is_told_by_each_kind_of_call)
{
	static const struct {
		void (*send)(struct store *s, struct reply *r);
		const char *answer;
	} kinds[] = {
		{send_get, ITEM(ERA("6"))},	   {send_range, NO_ITEMS(ERA("6"))},
		{send_watch, NO_EVENTS(ERA("6"))}, {send_put, ITEM(ERA("6"))},
		{send_grant, ITEM(ERA("6"))},	   {send_renewal, ITEM(ERA("6"))},
		{send_end, ITEM(ERA("6"))},
	};

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct reply r = {0};
		struct fixture f;

		set_up(&f);
		cr_assert_eq(get(&f, ITEM(ERA("5"))).result, STORE_OK);
		f.server.answer = kinds[i].answer;
		kinds[i].send(f.store, &r);
		run_until(&f.server, &r.done);
		cr_assert_eq(f.n_changes, 1, "call %zu", i);
		cr_assert_eq(r.result, kinds[i].send == send_watch ? STORE_COMPACTED : STORE_OK,
			     "call %zu", i);
		cr_assert_eq(r.position.era, 6, "call %zu", i);
		tear_down(&f);
	}
}

/* Guards against an answer that is taken for "nothing there" although it does not tell what is there. */
Test(mesh_store, answer_without_what_was_asked_tells_nothing)
{
	static const struct {
		void (*send)(struct store *s, struct reply *r);
		const char *answer;
	} rows[] = {
		{send_get, ANSWER("", "200 OK", "2", "{}")},
		{send_get, NO_EVENTS("")},
		{send_range, ANSWER("", "200 OK", "2", "{}")},
		{send_range, ITEM("")},
		{send_range, NO_EVENTS("")},
		{send_watch, ANSWER("", "200 OK", "2", "{}")},
		{send_watch, ANSWER("", "200 OK", "0", "")},
		{send_watch, NO_ITEMS("")},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct reply r = {0};
		struct fixture f;

		set_up(&f);
		f.server.answer = rows[i].answer;
		rows[i].send(f.store, &r);
		run_until(&f.server, &r.done);
		cr_assert_eq(r.result, STORE_UNKNOWN, "row %zu", i);
		tear_down(&f);
	}
}

/* Guards against a lease that is kept or given up by an answer of before the store's return. */
Test(mesh_store, answer_of_an_earlier_era_tells_nothing)
{
	struct fixture f;
	struct reply r;

	set_up(&f);
	r = get(&f, ITEM(ERA("6")));
	cr_assert_eq(r.result, STORE_OK);
	cr_assert_eq(r.position.era, 6);
	cr_assert_eq(r.position.revision, 50);
	cr_assert_eq(get(&f, ITEM(ERA("5"))).result, STORE_UNKNOWN);
	cr_assert_eq(get(&f, ANSWER(ERA("5"), "404 Not Found", "2", "{}")).result, STORE_UNKNOWN);
	cr_assert_eq(get(&f, ITEM("")).result, STORE_UNKNOWN);
	cr_assert_eq(get(&f, ITEM(ERA("7x"))).result, STORE_UNKNOWN);
	cr_assert_eq(get(&f, ITEM(ERA("99999999999999999999"))).result, STORE_UNKNOWN);
	cr_assert_eq(f.n_changes, 0);
	cr_assert_eq(get(&f, ITEM(ERA("6"))).result, STORE_OK);
	tear_down(&f);
}

/*
 * Guards against a watch that is answered from a revision of before the store's return, which the
 * store has given out again: it lacks the changes below it.
 */
Test(mesh_store, watch_from_an_earlier_era_is_not_complete)
{
	struct fixture f;

	set_up(&f);
	cr_assert_eq(watch(&f, (struct br_position){6, 50}, NO_EVENTS(ERA("6"))).result, STORE_OK);
	cr_assert_eq(watch(&f, (struct br_position){5, 50}, NO_EVENTS(ERA("6"))).result,
		     STORE_COMPACTED);
	cr_assert_eq(watch(&f, (struct br_position){6, 50}, NO_EVENTS(ERA("7"))).result,
		     STORE_COMPACTED);
	tear_down(&f);
}

/* A store of an earlier version tells no era. */
Test(mesh_store, store_without_eras)
{
	struct fixture f;

	set_up(&f);
	cr_assert_eq(get(&f, ITEM("")).result, STORE_OK);
	cr_assert_eq(watch(&f, (struct br_position){0, 50}, NO_EVENTS("")).result, STORE_OK);
	cr_assert_eq(f.n_changes, 0);
	tear_down(&f);
}

/* What is some seconds old may be of before the store's return, under the new era's number. */
Test(mesh_store, no_stale_reads_after_a_change)
{
	struct fixture f;
	struct reply r = {0};

	set_up(&f);
	get(&f, ITEM(ERA("5")));
	store_get_stale(f.store, "k", 1000, on_reply, &r);
	run_until(&f.server, &r.done);
	cr_assert_str_eq(f.server.target, "/kv-key?key=k&staleOk=1");
	store_hear_era(f.store, 0);
	cr_assert_eq(f.n_changes, 0);
	store_hear_era(f.store, 6);
	cr_assert_eq(f.n_changes, 1);
	f.server.answer = ITEM(ERA("6"));
	r.done = false;
	store_get_stale(f.store, "k", 1000, on_reply, &r);
	run_until(&f.server, &r.done);
	cr_assert_str_eq(f.server.target, "/kv-key?key=k");
	cr_assert_eq(r.result, STORE_OK);
	tear_down(&f);
}
