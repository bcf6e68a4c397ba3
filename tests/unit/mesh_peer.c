/* Jobs at another node, whose answers the test gives. */
#include "mesh/peer.h"

#include "mesh/members.h"
#include "mesh/peer_format.h"
#include "tests/unit/ended_job.h"
#include "tests/unit/fake_server.h"

#include <stdio.h>

struct fixture {
	struct server server;
	struct mesh_settings settings;
	struct board board;
	struct member *member;
};

static void start(struct fixture *f, const char *answer)
{
	char entry[256];

	f->server.answer = answer;
	f->server.closes = true;
	start_server(&f->server);
	f->settings = (struct mesh_settings){.node = "self", .service = "s"};
	f->board = (struct board){.loop = f->server.loop, .settings = &f->settings};
	f->board.messages.limit_bytes = 1024 * 1024;
	f->board.balance = br_balance_create(0);
	f->board.members = members_create(&f->board);
	snprintf(entry, sizeof(entry),
		 "{\"address\":\"127.0.0.1:%u\",\"zone\":\"a\",\"phase\":\"serving\","
		 "\"target\":\"t1\",\"service\":\"s\",\"slots\":8}",
		 ntohs(f->server.addr.sin_port));
	cr_assert(members_put(f->board.members, "other", entry, strlen(entry)));
	f->member = members_by_name(f->board.members, "other");
	cr_assert(f->member);
}

static void run_job(struct fixture *f, struct ended_job *j)
{
	prepare_job(j, "a", 1000);
	peer_run(&f->board, f->member, &j->job);
	run_until(&f->server, &j->ended);
	http_msg_destroy(j->msg);
}

static void stop(struct fixture *f)
{
	members_destroy(f->board.members);
	br_balance_destroy(f->board.balance);
}

/* A node's "not run", for want of room in its queue. */
#define NOT_RUN "HTTP/1.1 503 Busy\r\n" PEER_END_FIELD ": 1 overload 0 0 0 0 8 0 0 0\r\n"

Test(mesh_peer, refusal_of_a_node_is_believed)
{
	struct fixture f = {0};
	struct ended_job j;

	start(&f, NOT_RUN "Content-Length: 0\r\n\r\n");
	run_job(&f, &j);
	cr_assert_eq(j.result, JOB_NOT_RUN);
	cr_assert_eq(j.reason, JOB_REASON_QUEUE_REFUSED);
	stop(&f);
}

/* Guards against a job that is sent elsewhere, although it may have run, for such a refusal. */
Test(mesh_peer, invalid_refusal_of_a_node_is_not_believed)
{
	static const char *const answers[] = {
		NOT_RUN "X-Field: \x01\r\nContent-Length: 0\r\n\r\n",
		NOT_RUN "\rContent-Length: 0\r\n\r\n",
		NOT_RUN "X Field: v\r\nContent-Length: 0\r\n\r\n",
		NOT_RUN "Transfer-Encoding: chunked\r\n\r\n0\r\nX T: v\r\n\r\n",
		NOT_RUN "Content-Length: 0\r\n",
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct fixture f = {0};
		struct ended_job j;

		start(&f, answers[i]);
		run_job(&f, &j);
		cr_expect_eq(j.result, JOB_LOST, "answer %zu", i);
		stop(&f);
	}
}
