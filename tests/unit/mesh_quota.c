/* Tokens of the accounts' rates between two nodes over loopback: the keeper and another node. */
#include "mesh/quota.h"

#include "common/clock.h"
#include "mesh/keeper_link.h"
#include "mesh/members.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ACCOUNTS 80
#define RATE_PER_S 50.0

/* Tests run side by side, each in a process of its own. */
static uint16_t mesh_port(void)
{
	return (uint16_t)(20000 + getpid() % 20000);
}

struct node {
	struct mesh_settings settings;
	struct board board;
	struct keeper_link *link;
	struct quota *quota;
};

struct fixture {
	struct mesh_account accounts[ACCOUNTS];
	struct mesh_config config;
	/** nodes[0] is the keeper. */
	struct node nodes[2];
	struct quota_wait waits[ACCOUNTS];
	uint32_t n_granted, n_denied;
	bool over;
};

static struct fixture f;

static struct sockaddr_in node_addr(int i, uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(port)};

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK + (20 << 8) + (uint32_t)i);
	return addr;
}

static void add_member(struct members *ms, int i)
{
	struct sockaddr_in addr = node_addr(i, 1);
	char entry[256], text[BR_NODE_ID_BYTES], name[8];

	snprintf(name, sizeof(name), "n%d", i);
	mesh_format_addr(&addr, text, sizeof(text));
	snprintf(entry, sizeof(entry), "{\"address\":\"%s\",\"phase\":\"none\"}", text);
	cr_assert(members_put(ms, name, entry, strlen(entry)));
}

static void start_node(int i)
{
	struct node *n = &f.nodes[i];

	snprintf(n->settings.node, sizeof(n->settings.node), "n%d", i);
	n->settings.peer_addr = node_addr(i, 1);
	n->settings.mesh_port = mesh_port();
	n->board = (struct board){.loop = uv_default_loop(),
				  .settings = &n->settings,
				  .config = &f.config,
				  .view_position.revision = 1};
	br_rng_seed(&n->board.rng, (uint64_t)i + 1);
	n->board.balance = br_balance_create(0);
	n->board.members = members_create(&n->board);
	add_member(n->board.members, 0);
	add_member(n->board.members, 1);
	n->link = keeper_link_create(&n->board);
	n->quota = quota_create(&n->board, n->link);
}

static void start(double rate_per_s)
{
	struct sockaddr_in keeper = node_addr(0, 1);

	f = (struct fixture){.config = {.version = 1, .accounts = f.accounts}};
	f.config.n_accounts = ACCOUNTS;
	for (uint32_t i = 0; i < ACCOUNTS; i++)
		f.accounts[i] = (struct mesh_account){
			.name_hash = i + 1, .rate_per_s = rate_per_s, .burst = 10};
	start_node(0);
	start_node(1);
	quota_set_keeper(f.nodes[0].quota, "n0", &keeper, UINT64_MAX);
	quota_set_keeper(f.nodes[1].quota, "n0", &keeper, 0);
}

static void on_over(void *arg)
{
	(void)arg;
	f.over = true;
}

static void run_ms(uint64_t ms)
{
	(void)timer_start(uv_default_loop(), ms, on_over, NULL);
	for (f.over = false; !f.over;)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
}

static void on_wait_done(struct quota_wait *w, bool granted)
{
	(void)w;
	f.n_granted += granted;
	f.n_denied += !granted;
}

/* Takes one token of each account at the node that is not the keeper. */
static void take_all(uint64_t wait_ms)
{
	f.n_granted = 0;
	f.n_denied = 0;
	for (int i = 0; i < ACCOUNTS; i++) {
		f.waits[i] = (struct quota_wait){
			.done = on_wait_done, .until_us = clock_now_us() + wait_ms * BR_US_PER_MS};
		switch (quota_take(f.nodes[1].quota, &f.accounts[i], &f.waits[i])) {
		case QUOTA_GRANTED:
			f.n_granted++;
			break;
		case QUOTA_DENIED:
			f.n_denied++;
			break;
		case QUOTA_PENDING:
			break;
		}
	}
}

/* More accounts wait at once than fit into one message; their requests are within their rates. */
Test(mesh_quota, all_accounts_that_wait_get_an_answer)
{
	start(RATE_PER_S);
	run_ms(400);
	take_all(0);
	run_ms(300);
	cr_assert_eq(f.n_granted, ACCOUNTS, "granted %u, denied %u", f.n_granted, f.n_denied);
}

/*
 * A store that is away for all ends the keeper's lease, but nobody else can be elected. The nodes
 * that still ask it may go on using their parts together.
 */
Test(mesh_quota, keeper_goes_on_without_its_lease)
{
	start(RATE_PER_S);
	run_ms(400);
	quota_set_keeper(f.nodes[0].quota, "n0", NULL, 0);
	cr_assert_not(f.nodes[0].board.is_keeper);
	take_all(0);
	run_ms(300);
	cr_assert_eq(f.n_granted, ACCOUNTS, "granted %u, denied %u", f.n_granted, f.n_denied);
}

/*
 * Requests that waited for the keeper while it was paused may since have been made elsewhere: only
 * the keeper's own part of the rate is left to it.
 */
Test(mesh_quota, paused_keeper_ignores_what_waited)
{
	const uint32_t rate_per_s = 4, paused_ms = 1500, run_before_ms = 400;
	uint32_t n = 0;

	start(rate_per_s);
	run_ms(run_before_ms);
	take_all(0);
	clock_sleep_ms(paused_ms);
	/* The requests of the other node, sent before the pause, are read now. */
	uv_run(uv_default_loop(), UV_RUN_NOWAIT);
	uv_run(uv_default_loop(), UV_RUN_NOWAIT);
	f.waits[0] = (struct quota_wait){.done = on_wait_done};
	while (quota_take(f.nodes[0].quota, &f.accounts[0], &f.waits[0]) == QUOTA_GRANTED)
		n++;
	cr_assert_leq(n, rate_per_s * (paused_ms + run_before_ms + 200) / 1000 / 2, "%u", n);
}

/* While no keeper answers, a request waits for as long as it may be queued. */
Test(mesh_quota, waits_for_a_keeper_that_is_found_late)
{
	start(RATE_PER_S);
	run_ms(100);
	quota_set_keeper(f.nodes[1].quota, "", NULL, 0);
	take_all(1000);
	run_ms(400);
	cr_assert_eq(f.n_denied, 0, "granted %u, denied %u", f.n_granted, f.n_denied);
	quota_set_keeper(f.nodes[1].quota, "n0", NULL, 0);
	run_ms(300);
	cr_assert_eq(f.n_granted, ACCOUNTS, "granted %u, denied %u", f.n_granted, f.n_denied);
}

/* A node that does not know the others would take the whole rate for its own part. */
Test(mesh_quota, nothing_is_spent_while_the_members_are_unknown)
{
	start(RATE_PER_S);
	run_ms(100);
	f.nodes[1].board.view_position.revision = 0;
	quota_set_keeper(f.nodes[1].quota, "", NULL, 0);
	run_ms(500);
	take_all(300);
	run_ms(500);
	cr_assert_eq(f.n_granted, 0, "granted %u", f.n_granted);
	cr_assert_eq(f.n_denied, ACCOUNTS);
}

/* Takes all tokens of one account that the keeper has gathered. */
static uint32_t drain_keeper(void)
{
	uint32_t n = 0;

	f.waits[0] = (struct quota_wait){.done = on_wait_done};
	while (quota_take(f.nodes[0].quota, &f.accounts[0], &f.waits[0]) == QUOTA_GRANTED)
		n++;
	return n;
}

/*
 * Guards against two keepers that both grant a whole burst: after the store's return from a copy the
 * one before may not know yet that its election is lost, and other nodes may still ask it.
 */
Test(mesh_quota, keeper_of_a_new_era_grants_parts_only)
{
	uint32_t burst, n;

	start(RATE_PER_S);
	burst = (uint32_t)f.accounts[0].burst;
	/* The other node asks another keeper. */
	quota_set_keeper(f.nodes[1].quota, "", NULL, 0);
	f.nodes[0].board.other_keeper_until_us = clock_now_us() + 60 * BR_US_PER_S;
	run_ms(1500);
	n = drain_keeper();
	cr_assert_eq(n, burst / 2, "%u", n);
	f.nodes[0].board.other_keeper_until_us = 0;
	run_ms(1500);
	n = drain_keeper();
	cr_assert_eq(n, burst, "%u", n);
}
