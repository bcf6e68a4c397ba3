#include "ctl/commands.c"
#include "ctl/input.c"
#include "ctl/store.c"

#include "common/http_server.h"

#include <civetweb.h>
#include <criterion/criterion.h>
#include <unistd.h>

/* Fake platform that holds mesh/default and, if has_account is set, one account. */
struct fake_platform {
	char value[256];
	uint64_t rev;
	bool has_account;
	/** Another operator writes share_slots 12 after the first read. */
	bool concurrent_write;
	int writes;
};

static void handle_read(struct mg_connection *conn, struct fake_platform *f, const char *path)
{
	char rev[24], value[sizeof(f->value)];
	struct http_header header = {.name = "X-Mod-Rev", .value = rev};
	struct http_reply reply = {.status = f->value[0] ? 200 : 404,
				   .headers = &header,
				   .n_headers = 1,
				   .body = value,
				   .body_len = strlen(f->value)};

	if (!strcmp(path, "/range")) {
		http_server_reply_text(
			conn, 200,
			f->has_account
				? "{\"rev\":9,\"kvs\":[{\"key\":\"briarreel/config/account/a\","
				  "\"mod_rev\":2,\"value\":\"{}\"}]}"
				: "{\"rev\":9,\"kvs\":[]}");
		return;
	}
	snprintf(rev, sizeof(rev), "%" PRIu64, f->rev);
	br_copy_text(value, sizeof(value), f->value);
	/* Before the reply, since another thread handles the write that may follow it at once. */
	if (f->concurrent_write) {
		f->concurrent_write = false;
		f->rev++;
		br_copy_text(f->value, sizeof(f->value), "{\"schema\": 1, \"share_slots\": 12}");
	}
	http_server_reply(conn, &reply);
}

static void handle(struct mg_connection *conn, void *user_data)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct fake_platform *f = user_data;
	char *body = NULL;
	size_t len;

	if (!strcmp(ri->request_method, "GET")) {
		handle_read(conn, f, ri->local_uri);
		return;
	}
	http_server_read_body(conn, 255, &body, &len);
	if (strtoull(ri->query_string + strlen("cas="), NULL, 10) != f->rev) {
		http_server_reply_text(conn, 409, "");
	} else {
		f->writes++;
		http_server_reply_text(conn, 200, "");
	}
	free(body);
}

/* Puts json as mesh/default, or withdraws the record if json is NULL. Returns the exit status. */
static int write_mesh(struct fake_platform *f, const struct write_options *opts, const char *json)
{
	struct http_server_config cfg = {
		.listen = "127.0.0.1:0", .workers = 2, .keep_alive_ms = 1000};
	struct http_pool_config pool = {.connect_timeout_ms = 1000,
					.max_body_bytes = INPUT_MAX_BYTES};
	char path[] = "/tmp/briarreel-mesh-XXXXXX";
	struct br_error err = {0};
	struct http_server *srv = http_server_create(&cfg, handle, f, &err);
	struct store store = {.timeout_ms = 2000, .read_back_interval_ms = 1};
	char address[32];
	int fd = mkstemp(path);
	int status;

	cr_assert(srv, "%s", err.detail);
	cr_assert_geq(fd, 0);
	snprintf(address, sizeof(address), "127.0.0.1:%d", http_server_port(srv));
	store.platform = address;
	store.pool = http_pool_create(&pool);
	if (json) {
		cr_assert_eq(write(fd, json, strlen(json)), (ssize_t)strlen(json));
		status = command_put(&store, opts, "mesh", "default", path);
	} else {
		status = command_withdraw(&store, opts, "mesh", "default");
	}
	close(fd);
	unlink(path);
	http_pool_destroy(store.pool);
	http_server_destroy(srv);
	return status;
}

static const struct write_options any_revision = {0};

#define SLOTS(n) "{\"schema\": 1, \"share_slots\": " #n "}"

/* Nodes with different values of share_slots would together exceed an account's rate. */
Test(ctl_mesh, share_slots_of_a_record_stay)
{
	struct fake_platform f = {.value = SLOTS(8), .rev = 5};
	struct write_options at_rev = {.has_rev = true, .rev = 5};

	cr_assert_eq(write_mesh(&f, &any_revision, SLOTS(64)), EXIT_INVALID);
	cr_assert_eq(write_mesh(&f, &at_rev, SLOTS(64)), EXIT_INVALID);
	cr_assert_eq(write_mesh(&f, &any_revision, "{\"schema\": 1, \"autonomy_s\": 60}"),
		     EXIT_INVALID, "a record without the field means the default");
	cr_assert_eq(write_mesh(&f, &any_revision, NULL), EXIT_INVALID,
		     "a withdrawal means the default");
	cr_assert_eq(f.writes, 0);
	cr_assert_eq(write_mesh(&f, &any_revision,
				"{\"schema\": 1, \"share_slots\": 8, \"autonomy_s\": 60}"),
		     EXIT_DONE, "other fields can change");
	cr_assert_eq(f.writes, 1);
}

Test(ctl_mesh, first_record_once_there_are_accounts)
{
	struct fake_platform f = {.has_account = true};

	cr_assert_eq(write_mesh(&f, &any_revision, SLOTS(64)), EXIT_INVALID);
	cr_assert_eq(f.writes, 0);
	cr_assert_eq(write_mesh(&f, &any_revision, SLOTS(24)), EXIT_DONE);
	f.has_account = false;
	cr_assert_eq(write_mesh(&f, &any_revision, SLOTS(64)), EXIT_DONE);
	cr_assert_eq(f.writes, 2);
}

/* The checked record must still be current at the write: another operator may write before. */
Test(ctl_mesh, change_between_check_and_write)
{
	struct fake_platform f = {.value = SLOTS(8), .rev = 5, .concurrent_write = true};
	struct write_options stale = {.has_rev = true, .rev = 4};
	struct write_options new_only = {.must_be_new = true};

	cr_assert_eq(write_mesh(&f, &any_revision, SLOTS(8)), EXIT_CONFLICT);
	f = (struct fake_platform){.value = SLOTS(8), .rev = 5};
	cr_assert_eq(write_mesh(&f, &stale, SLOTS(8)), EXIT_CONFLICT);
	cr_assert_eq(write_mesh(&f, &new_only, SLOTS(8)), EXIT_CONFLICT);
	cr_assert_eq(f.writes, 0);
}

Test(ctl_mesh, withdrawal_of_the_default)
{
	struct fake_platform f = {.value = SLOTS(24), .rev = 5};

	cr_assert_eq(write_mesh(&f, &any_revision, NULL), EXIT_DONE);
	cr_assert_eq(f.writes, 1);
}
