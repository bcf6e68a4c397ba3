#include "briarreel/balance.h"
#include "common/clock.h"
#include "mesh/keeper_link.h"
#include "mesh/members.h"
#include "mesh/relay.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/* Nothing listens on this port, so that each fetch fails. */
#define CLOSED_PORT 9
#define RUN_MS 2500
#define STATE_INTERVAL_MS 100

struct fixture {
	struct board board;
	struct keeper_link *link;
	struct keeper_state keeper;
	uint64_t until_us;
};

static int on_config(void *ctx, const char *text, size_t len, const struct br_position *position)
{
	(void)ctx;
	(void)text;
	(void)len;
	(void)position;
	cr_assert_fail("no fetch can succeed");
	return 0;
}

static int on_view(void *ctx, const char *bytes, size_t len)
{
	return on_config(ctx, bytes, len, NULL);
}

static const struct keeper_receiver receiver = {.config = on_config, .view = on_view};

static void on_state_due(void *arg)
{
	struct fixture *f = arg;

	keeper_link_update(f->link, &f->keeper);
	if (clock_now_us() >= f->until_us)
		uv_stop(f->board.loop);
}

/*
 * Guards against a node that keeps following a keeper from which it cannot fetch: the keeper's
 * datagrams may arrive although connections to it fail.
 */
Test(mesh_keeper, is_not_followed_while_fetches_fail)
{
	struct fixture f = {0};
	struct timer *timer;

	f.board.loop = uv_default_loop();
	f.board.members = members_create(&f.board);
	f.link = keeper_link_create(&f.board);
	keeper_link_set_receiver(f.link, &receiver);
	f.keeper.addr = (struct sockaddr_in){.sin_family = AF_INET,
					     .sin_port = htons(CLOSED_PORT),
					     .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	f.keeper.version = 5;
	f.keeper.store_reachable = true;
	f.keeper.view.incarnation = 1;
	f.until_us = clock_now_us() + RUN_MS * BR_US_PER_MS;
	timer = timer_repeat(f.board.loop, STATE_INTERVAL_MS, on_state_due, &f);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
	cr_assert_not(board_follows_keeper(&f.board, clock_now_us()));
	timer_cancel(&timer);
	keeper_link_destroy(f.link);
	members_destroy(f.board.members);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
}

/*
 * Guards against an outdated configuration: a keeper that cannot reach the store does not learn of
 * a newer one.
 */
Test(mesh_keeper, is_not_followed_without_store)
{
	struct fixture f = {0};

	f.board.loop = uv_default_loop();
	f.board.members = members_create(&f.board);
	f.link = keeper_link_create(&f.board);
	keeper_link_set_receiver(f.link, &receiver);
	f.keeper.addr = (struct sockaddr_in){.sin_family = AF_INET,
					     .sin_port = htons(CLOSED_PORT),
					     .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	f.keeper.store_reachable = true;
	keeper_link_update(f.link, &f.keeper);
	cr_assert(board_follows_keeper(&f.board, clock_now_us()));
	f.keeper.store_reachable = false;
	keeper_link_update(f.link, &f.keeper);
	cr_assert_not(board_follows_keeper(&f.board, clock_now_us()));
	keeper_link_destroy(f.link);
	members_destroy(f.board.members);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
}

/*
 * Guards against a node that stops following its keeper for good since one notice named a version or
 * a state that nobody has.
 */
Test(mesh_keeper, is_followed_after_a_wrong_notice)
{
	const struct view_position far = {.incarnation = 1, .changes = 1000000};
	struct fixture f = {0};
	struct timer *timer;

	f.board.loop = uv_default_loop();
	f.board.members = members_create(&f.board);
	f.board.keeper_view = (struct view_position){.incarnation = 1, .changes = 5};
	f.link = keeper_link_create(&f.board);
	keeper_link_set_receiver(f.link, &receiver);
	f.keeper.addr = (struct sockaddr_in){.sin_family = AF_INET,
					     .sin_port = htons(CLOSED_PORT),
					     .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	f.keeper.store_reachable = true;
	f.keeper.view = f.board.keeper_view;
	keeper_link_update(f.link, &f.keeper);
	keeper_link_notice(f.link, UINT64_MAX, &far);
	f.until_us = clock_now_us() + RUN_MS * BR_US_PER_MS;
	timer = timer_repeat(f.board.loop, STATE_INTERVAL_MS, on_state_due, &f);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
	cr_assert(board_follows_keeper(&f.board, clock_now_us()));
	timer_cancel(&timer);
	keeper_link_destroy(f.link);
	members_destroy(f.board.members);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
}

/* --- Fetches between nodes --- */

static const struct sockaddr_in *keeper_addr(void)
{
	static struct sockaddr_in addr = {.sin_family = AF_INET};

	addr.sin_port = htons(80);
	inet_pton(AF_INET, "10.0.0.0", &addr.sin_addr);
	return &addr;
}

static void put_member(struct members *ms, const char *node, int host, const char *zone,
		       const char *phase)
{
	char entry[256];

	snprintf(entry, sizeof(entry),
		 "{\"address\":\"10.0.0.%d:80\",\"zone\":\"%s\",\"phase\":\"%s\","
		 "\"target\":\"t%d\",\"service\":\"s\",\"slots\":1}",
		 host, zone, phase, host);
	cr_assert(members_put(ms, node, entry, strlen(entry)));
}

static void create_board(struct board *board, struct mesh_settings *settings)
{
	*board = (struct board){.loop = uv_default_loop(), .settings = settings};
	board->incarnation = 7;
	board->balance = br_balance_create(0);
	board->members = members_create(board);
	put_member(board->members, "keeper", 0, "a", "serving");
	put_member(board->members, "a1", 1, "a", "leaving");
	put_member(board->members, "a2", 2, "a", "serving");
	put_member(board->members, "a3", 3, "a", "serving");
	put_member(board->members, "b1", 4, "b", "serving");
	put_member(board->members, "b2", 5, "b", "serving");
}

static void destroy_board(struct board *board)
{
	members_destroy(board->members);
	br_balance_destroy(board->balance);
}

static void append_name(void *ctx, const struct member *m)
{
	buf_printf(ctx, "%s ", m->node);
}

/* Returns from whom a node fetches and who fetches from it, as text. */
static const char *relays_of(const char *node, bool is_keeper)
{
	static struct buf text;
	struct mesh_settings settings = {.node = ""};
	struct board board;
	const struct member *parent;

	br_copy_text(settings.node, sizeof(settings.node), node);
	create_board(&board, &settings);
	board.is_keeper = is_keeper;
	parent = is_keeper ? NULL : relay_parent(&board, keeper_addr());
	buf_free(&text);
	buf_printf(&text, "%s: ", parent ? parent->node : "-");
	relay_children(&board, keeper_addr(), append_name, &text);
	destroy_board(&board);
	return buf_cstr(&text);
}

/* Each zone fetches once from the keeper; a leaving node passes nothing on while there are others. */
Test(mesh_keeper, zones_fetch_once)
{
	cr_assert_str_eq(relays_of("keeper", true), "-: a2 b1 ");
	cr_assert_str_eq(relays_of("a2", false), "-: a3 a1 ");
	cr_assert_str_eq(relays_of("a3", false), "a2: ");
	cr_assert_str_eq(relays_of("a1", false), "a2: ");
	cr_assert_str_eq(relays_of("b1", false), "-: b2 ");
	cr_assert_str_eq(relays_of("b2", false), "b1: ");
}

static int status_of(const struct board *board, const char *fetch)
{
	struct buf out = {0};
	int status = 0;

	keeper_link_answer_fetch(board, fetch, &out);
	cr_assert_eq(sscanf(buf_cstr(&out), "HTTP/1.1 %d", &status), 1);
	buf_free(&out);
	return status;
}

/* Guards against a node that takes an older state from a relay for the one it asked for. */
Test(mesh_keeper, relay_answers_once_it_has_what_is_wanted)
{
	struct mesh_config config = {.version = 5};
	struct mesh_settings settings = {.node = "a2"};
	struct board board;

	create_board(&board, &settings);
	board.config = &config;
	board.keeper_view = (struct view_position){.incarnation = 9, .changes = 20};
	cr_assert_eq(status_of(&board, "view 0 0 9 20"), 200);
	cr_assert_eq(status_of(&board, "view 0 0 9 19"), 200);
	cr_assert_eq(status_of(&board, "view 0 0 9 21"), 404);
	cr_assert_eq(status_of(&board, "view 0 0 8 20"), 404, "view of another keeper");
	cr_assert_eq(status_of(&board, "view 0 0 7 20"), 404, "its own view, later than now");
	cr_assert_eq(status_of(&board, "view 0 0 7 0"), 200, "its own view");
	cr_assert_eq(status_of(&board, "config 5"), 200);
	cr_assert_eq(status_of(&board, "config 6"), 404);
	cr_assert_eq(status_of(&board, "view"), 404);
	cr_assert_eq(status_of(&board, "other"), 404);
	destroy_board(&board);
}

static uint32_t last_change_after(struct board *board, const char *more)
{
	char entry[256];

	board->view_changes++;
	snprintf(entry, sizeof(entry),
		 "{\"address\":\"10.0.0.5:80\",\"zone\":\"b\",\"phase\":\"serving\","
		 "\"target\":\"t5\",\"service\":\"s\",%s}",
		 more);
	cr_assert(members_put(board->members, "b2", entry, strlen(entry)));
	return members_by_name(board->members, "b2")->last_change;
}

/* What says nothing new is not passed on; what others have to know is. */
Test(mesh_keeper, only_changes_are_passed_on)
{
	struct mesh_settings settings = {.node = "a2"};
	struct board board;

	create_board(&board, &settings);
	cr_assert_eq(last_change_after(&board, "\"slots\":1"), 1);
	cr_assert_eq(last_change_after(&board, "\"slots\":2"), 3);
	cr_assert_eq(last_change_after(&board, "\"slots\":2"), 3);
	cr_assert_eq(last_change_after(&board, "\"slots\":2,\"cold_ms\":900"), 5, "cold again");
	members_set_missing(board.members, "b2");
	cr_assert_eq(last_change_after(&board, "\"slots\":2"), 6, "found again");
	destroy_board(&board);
}

/*
 * Guards against a member that stays known for ever at a node that fetched only what has changed
 * since, while the member was removed in between.
 */
Test(mesh_keeper, view_is_whole_after_a_removal)
{
	struct mesh_settings settings = {.node = "a2"};
	struct board board;
	struct buf out = {0};

	create_board(&board, &settings);
	board.view_changes = 5;
	members_set_missing(board.members, "b2");
	board.view_changes = 6;
	keeper_link_answer_fetch(&board, "view 7 5 7 6", &out);
	cr_assert(strstr(buf_cstr(&out), "\"missing\":[\"b2\"]"));
	clock_sleep_ms(2100);
	members_sweep(board.members);
	cr_assert_eq(members_count(board.members), 5);
	buf_free(&out);
	keeper_link_answer_fetch(&board, "view 7 5 7 6", &out);
	cr_assert(strstr(buf_cstr(&out), "\"whole\":true"));
	buf_free(&out);
	keeper_link_answer_fetch(&board, "view 7 6 7 6", &out);
	cr_assert(strstr(buf_cstr(&out), "\"whole\":false"));
	buf_free(&out);
	destroy_board(&board);
}
