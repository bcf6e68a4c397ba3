/* Who is keeper when the store has come back from an older copy. */
#include "mesh/election.h"

#include "common/clock.h"
#include "mesh/keeper_link.h"
#include "mesh/members.h"
#include "mesh/quota.h"
#include "mesh/target.h"
#include "platform/store.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <unistd.h>

#define CLOSED_PORT 9
#define LEASE 7
#define LEASE_US (60 * BR_US_PER_S)

/* The loop does not run, so that no call of the node is answered. */
struct fixture {
	struct mesh_settings settings;
	struct board board;
	struct election *election;
};

static void on_changed(void *ctx)
{
	(void)ctx;
}

/* A node with a lease that is keeper by a key of era 1. */
static void start(struct fixture *f)
{
	const struct sockaddr_in store_addr = {.sin_family = AF_INET,
					       .sin_port = htons(CLOSED_PORT),
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	f->settings = (struct mesh_settings){.node = "node 1", .service = "s"};
	mesh_parse_addr("127.0.0.1:8103", &f->settings.peer_addr);
	f->settings.mesh_port = (uint16_t)(20000 + getpid() % 20000);
	f->board = (struct board){.loop = uv_default_loop(), .settings = &f->settings};
	f->board.balance = br_balance_create(0);
	f->board.members = members_create(&f->board);
	f->board.target = target_create(&f->board, on_changed, NULL);
	f->board.store = store_create(f->board.loop, &store_addr);
	f->board.quota = quota_create(&f->board, keeper_link_create(&f->board));
	f->election = election_create(&f->board);
	store_hear_era(f->board.store, 1);
	election_set_lease(f->election, LEASE, clock_now_us() + LEASE_US);
	election_set_keeper(f->election, "node 1 127.0.0.1:8103", LEASE,
			    &(struct br_position){1, 50});
	cr_assert(f->board.is_keeper);
}

/* Guards against a keeper by a key that the store has lost: the id of its lease was given out again. */
Test(mesh_election, key_of_an_earlier_era_is_not_held)
{
	static struct fixture f;

	start(&f);
	store_hear_era(f.board.store, 2);
	election_set_lease(f.election, LEASE, clock_now_us() + LEASE_US);
	cr_assert_not(f.board.is_keeper);
	/* The key is in the copy, or written again. */
	election_set_keeper(f.election, "node 1 127.0.0.1:8103", LEASE,
			    &(struct br_position){2, 9});
	cr_assert(f.board.is_keeper);
}

/* Guards against a keeper that takes each state of its key for a stale one, since revisions went back. */
Test(mesh_election, lower_revision_of_a_later_era_counts)
{
	static struct fixture f;

	start(&f);
	election_set_keeper(f.election, "node 2 127.0.0.2:8103", LEASE + 1,
			    &(struct br_position){1, 49});
	cr_assert(f.board.is_keeper);
	store_hear_era(f.board.store, 2);
	election_set_keeper(f.election, "node 2 127.0.0.2:8103", LEASE + 1,
			    &(struct br_position){2, 9});
	cr_assert_not(f.board.is_keeper);
	cr_assert_str_eq(f.board.keeper_key.value, "node 2 127.0.0.2:8103");
	/* What another node knew before the store's return. */
	election_set_keeper(f.election, "node 1 127.0.0.1:8103", LEASE,
			    &(struct br_position){1, 60});
	cr_assert_str_eq(f.board.keeper_key.value, "node 2 127.0.0.2:8103");
}

Test(mesh_election, odd_values_of_the_key_name_no_keeper)
{
	static const char *const odd[] = {
		"", " ", "node 1", "127.0.0.1:8103", " 127.0.0.1:8103", "node 1 127.0.0.1:0"};
	static struct fixture f;

	start(&f);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		election_set_keeper(f.election, odd[i], LEASE,
				    &(struct br_position){1, 60 + 2 * i});
		cr_assert_not(f.board.is_keeper, "\"%s\"", odd[i]);
		election_set_keeper(f.election, "node 1 127.0.0.1:8103", LEASE,
				    &(struct br_position){1, 61 + 2 * i});
		cr_assert(f.board.is_keeper);
	}
}
