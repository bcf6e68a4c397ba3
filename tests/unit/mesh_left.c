/* What nodes hold for each other of the targets that have left, and what they tell each other about it. */
#include "briarreel/balance.h"
#include "common/clock.h"
#include "mesh/era_mark.h"
#include "mesh/left_holder.h"
#include "mesh/left_record.h"
#include "mesh/members.h"
#include "mesh/start_check.h"
#include "mesh/target.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

struct fixture {
	struct board board;
	struct mesh_settings settings;
};

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void set_up(struct fixture *f, bool first_start)
{
	*f = (struct fixture){0};
	br_copy_text(f->settings.node, sizeof(f->settings.node), "self");
	br_copy_text(f->settings.service, sizeof(f->settings.service), "s");
	f->settings.first_start = first_start;
	cr_assert_eq(mesh_parse_addr("127.0.0.1:1", &f->settings.target_addr), 0);
	f->board.loop = uv_default_loop();
	f->board.settings = &f->settings;
	f->board.store = store_create(f->board.loop, &f->settings.target_addr);
	f->board.balance = br_balance_create(0);
	f->board.members = members_create(&f->board);
	f->board.target = target_create(&f->board, on_changed, NULL);
	f->board.left_record = left_record_create(&f->board);
	f->board.left_holder = left_holder_create(&f->board);
}

static void tear_down(struct fixture *f)
{
	left_holder_destroy(f->board.left_holder);
	store_destroy(f->board.store);
	left_record_destroy(f->board.left_record);
	target_destroy(f->board.target);
	members_destroy(f->board.members);
	br_balance_destroy(f->board.balance);
}

/* Sends a list to the holder; returns whether the answer begins with the status. */
static bool answers(struct fixture *f, const char *status, const char *body)
{
	struct http_msg *m = http_msg_create();
	struct buf out = {0};
	bool same;

	buf_append_text(&m->body, body);
	left_holder_answer(f->board.left_holder, m, &out);
	same = !strncmp(buf_cstr(&out) + strlen("HTTP/1.1 "), status, strlen(status));
	http_msg_destroy(m);
	buf_free(&out);
	return same;
}

#define LEFT(node, more, id, until)                                                               \
	"{\"node\":\"" node "\"," more "\"left\":[{\"id\":\"" id "\",\"started_until_ms\":" until \
	"}]}"
#define AT(address) "\"address\":\"" address "\","

/* Guards against a leaving that only the process knew which was told of it. */
Test(mesh_left, lists_are_held_for_other_nodes)
{
	struct fixture f;
	const struct br_left_list *l;

	set_up(&f, true);
	cr_assert(answers(&f, "200", LEFT("n1", AT("127.0.0.2:80"), "t1", "5000")));
	/* A process that has started again doesn't know of the first. */
	cr_assert(answers(&f, "200", LEFT("n1", AT("127.0.0.2:80"), "t2", "6000.0")));
	l = left_holder_find(f.board.left_holder, "n1");
	cr_assert(l && br_left_contains(l, "t1", 5000) && br_left_contains(l, "t2", 6000));
	cr_assert_null(left_holder_find(f.board.left_holder, "n2"));
	/* Another VM has got the name. */
	cr_assert(answers(&f, "200", LEFT("n1", AT("127.0.0.3:80"), "t3", "7000")));
	l = left_holder_find(f.board.left_holder, "n1");
	cr_assert(l && !br_left_names(l, "t1") && br_left_names(l, "t3"));
	cr_assert_eq(left_holder_count(f.board.left_holder), 1);
	tear_down(&f);
}

#define X8 "nnnnnnnn"
#define X80 X8 X8 X8 X8 X8 X8 X8 X8 X8 X8

/* Guards against an odd message that ends the process or is held. */
Test(mesh_left, odd_messages_are_refused)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"node\":\"n1\"}",
		"{\"node\":7,\"address\":\"127.0.0.2:80\",\"left\":[]}",
		"{\"node\":\"\",\"address\":\"127.0.0.2:80\",\"left\":[]}",
		"{\"node\":\"n\\u0000\",\"address\":\"127.0.0.2:80\",\"left\":[]}",
		"{\"node\":\"n1\",\"left\":[]}",
		"{\"node\":\"n1\",\"address\":\"127.0.0.2\",\"left\":[]}",
		"{\"node\":\"n1\",\"address\":\"127.0.0.2:80\",\"left\":{}}",
		"{\"node\":\"" X80 "\",\"address\":\"127.0.0.2:80\",\"left\":[]}",
	};
	struct fixture f;

	set_up(&f, true);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert(answers(&f, "400", bad[i]), "row %zu", i);
		cr_assert_eq(left_holder_count(f.board.left_holder), 0, "row %zu", i);
	}
	cr_assert(answers(&f, "200",
			  "{\"node\":\"n1\",\"address\":\"127.0.0.2:80\",\"left\":[null,7,{},"
			  "{\"id\":\"t1\",\"started_until_ms\":-1},{\"id\":8}]}"));
	cr_assert_eq(left_holder_find(f.board.left_holder, "n1")->n, 0);
	tear_down(&f);
}

static void confirm(struct fixture *f, const char *id)
{
	static const struct br_left_list nothing;

	target_restore_left(f->board.target, &nothing);
	target_confirm(f->board.target, id, 4, clock_now_us());
}

/* Guards against a target in use that a late message shows to have left, whatever its health says. */
Test(mesh_left, own_list_that_comes_back_late_closes_the_target)
{
	struct target_report report = {.id = "t1",
				       .service = "s",
				       .state = REPORTED_READY,
				       .slots = 4,
				       .sequence = 9,
				       .incarnation_start_ms = 6000};
	struct fixture f;

	set_up(&f, false);
	confirm(&f, "t1");
	cr_assert_eq(target_status(f.board.target)->phase, TARGET_SERVING);
	cr_assert(answers(&f, "200", LEFT("self", "", "t1", "5000")));
	cr_assert_eq(target_status(f.board.target)->phase, TARGET_CLOSED);
	confirm(&f, "t1");
	cr_assert_eq(target_status(f.board.target)->phase, TARGET_CLOSED);
	/* One that has started since is another one. */
	report.addr = f.settings.target_addr;
	cr_assert(target_report(f.board.target, &report));
	confirm(&f, "t1");
	cr_assert_eq(target_status(f.board.target)->phase, TARGET_SERVING);
	cr_assert(answers(&f, "200", LEFT("self", "", "t1", "5000")));
	cr_assert_eq(target_status(f.board.target)->phase, TARGET_SERVING);
	tear_down(&f);
}

/* Guards against an acknowledgement that nothing but the process itself remembers. */
Test(mesh_left, a_leaving_outlives_only_with_the_store_or_a_copy)
{
	struct fixture f;

	set_up(&f, true);
	cr_assert(left_record_outlives(f.board.left_record));
	target_leave(f.board.target, "t1");
	cr_assert_not(left_record_outlives(f.board.left_record));
	tear_down(&f);
}

/* Guards against a question that ends the process, or whose answer claims a history that is not known. */
Test(mesh_left, answer_to_a_node_that_has_started)
{
	static const char *const bad[] = {"", "[]", "{}", "{\"node\":1}"};
	struct http_msg *m = http_msg_create();
	struct buf out = {0};
	struct fixture f;

	set_up(&f, true);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		m->body.len = 0;
		out.len = 0;
		buf_append_text(&m->body, bad[i]);
		start_check_answer(&f.board, m, &out);
		cr_assert(strstr(buf_cstr(&out), "HTTP/1.1 400"), "row %zu", i);
	}
	cr_assert(answers(&f, "200", LEFT("n1", AT("127.0.0.2:80"), "t1", "5000")));
	f.board.knows_history = true;
	m->body.len = 0;
	out.len = 0;
	buf_append_text(&m->body, "{\"node\":\"n1\"}");
	start_check_answer(&f.board, m, &out);
	cr_assert(strstr(buf_cstr(&out), "\"t1\""));
	/* Without a configuration it has nothing to tell of it. */
	cr_assert(strstr(buf_cstr(&out), "\"knows_history\":false"));
	http_msg_destroy(m);
	buf_free(&out);
	tear_down(&f);
}

/* Guards against a mark that is read wrongly, and so proves that a store has not come back from a copy. */
Test(mesh_left, mark_of_the_era)
{
	static const struct {
		struct store_item item;
		enum br_era_mark mark;
	} rows[] = {
		{{.value = (char *)"7", .len = 1}, BR_ERA_MARK_PRESENT},
		{{.value = (char *)"6", .len = 1}, BR_ERA_MARK_OTHER},
		{{.value = (char *)"8", .len = 1}, BR_ERA_MARK_OTHER},
		{{.value = (char *)"7x", .len = 2}, BR_ERA_MARK_OTHER},
		{{.value = (char *)"", .len = 0}, BR_ERA_MARK_OTHER},
		{{.unreadable = true}, BR_ERA_MARK_OTHER},
		{{.deleted = true}, BR_ERA_MARK_NONE},
	};
	struct board board = {0};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		era_mark_read(&board, &rows[i].item, 7);
		cr_assert_eq(board.era_mark, rows[i].mark, "row %zu", i);
	}
}

/*
 * Guards against two keepers that hand out a whole rate: a process that starts after the store's return is
 * elected while the keeper of before, which is cut off, has not noticed it.
 */
Test(mesh_left, keeper_of_before_is_reckoned_with_after_a_copy)
{
	struct fixture f;

	set_up(&f, false);
	store_set_system_ran(f.board.store);
	f.board.era_mark = BR_ERA_MARK_OTHER;
	store_hear_era(f.board.store, 7);
	era_mark_all_read(&f.board);
	cr_assert_gt(f.board.other_keeper_until_us, clock_now_us());
	f.board.other_keeper_until_us = 0;
	f.board.era_mark = BR_ERA_MARK_PRESENT;
	era_mark_all_read(&f.board);
	cr_assert_eq(f.board.other_keeper_until_us, 0);
	f.board.era_mark = BR_ERA_MARK_NONE;
	era_mark_all_read(&f.board);
	cr_assert_eq(f.board.other_keeper_until_us, 0);
	tear_down(&f);
}
