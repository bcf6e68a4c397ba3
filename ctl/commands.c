#include "ctl/commands.h"

#include "briarreel/error.h"
#include "briarreel/record.h"
#include "common/log.h"
#include "ctl/input.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "ctl"
/* A key read from standard input must be shorter than this, in bytes. */
#define KEY_LIMIT_BYTES 4096

/* Logs a failed call to the platform and returns the exit status. */
static int report_unreachable(const struct br_error *err)
{
	log_err("%s: %s: %s", err->peer, br_step_name(err->step), err->detail);
	return EXIT_UNREACHABLE;
}

/* Reads and validates a record; the caller frees the text. Logs an error and returns NULL. */
static char *read_record(const char *kind, const char *name, const char *path)
{
	struct br_error err = {0};
	char *text = input_read(path, &err);

	if (text && !input_strip_comments(text, &err) &&
	    !br_record_validate(kind, name, text, &err))
		return text;
	log_err("%s: %s", path, err.detail);
	free(text);
	return NULL;
}

int command_validate(const char *kind, const char *name, const char *path)
{
	char *text = read_record(kind, name, path);

	if (!text)
		return EXIT_INVALID;
	free(text);
	return EXIT_DONE;
}

/*
 * Checks that the account of a key record exists. Otherwise the platform would accept the record,
 * and the nodes would refuse every request with that key.
 */
static int check_account(const struct store *s, const char *name, const char *json)
{
	struct br_error err = {0};
	struct store_value account;
	char account_name[BR_NAME_BYTES];

	input_copy_string_member(json, "account", account_name, sizeof(account_name));
	if (!account_name[0]) {
		log_err("key/%s: account: must name an account", name);
		return EXIT_INVALID;
	}
	if (store_get(s, "account", account_name, &account, &err))
		return report_unreachable(&err);
	if (!account.value) {
		log_err("key/%s: account: %s: no such account", name, account_name);
		return EXIT_INVALID;
	}
	free(account.value);
	return EXIT_DONE;
}

static uint32_t share_slots_of(const char *json)
{
	struct br_record record;

	if (!json || br_record_parse("mesh", "default", json, strlen(json), &record, NULL))
		br_mesh_defaults(&record.mesh);
	return record.mesh.share_slots;
}

static void count_record(const char *key, uint64_t mod_rev, const char *value, void *arg)
{
	(void)key;
	(void)mod_rev;
	(void)value;
	(*(uint32_t *)arg)++;
}

/*
 * Checks that a write of mesh/default (json, or NULL for a withdrawal) does not change share_slots.
 * Nodes that disagree on it would together grant more than an account's rate, and would look for
 * the registrar of a request id at different holders. *rev is set to the revision compared with.
 */
static int check_share_slots(const struct store *s, const char *json, uint64_t *rev)
{
	uint32_t requested = share_slots_of(json);
	struct br_error err = {0};
	struct store_value current;
	uint32_t accounts = 0;
	uint32_t in_force;
	bool exists;

	if (store_get(s, "mesh", "default", &current, &err))
		return report_unreachable(&err);
	exists = current.value != NULL;
	in_force = share_slots_of(current.value);
	*rev = current.mod_rev;
	free(current.value);
	if (requested == in_force)
		return EXIT_DONE;
	/* Without accounts no rate is split over the slots yet, so any number is safe. */
	if (!exists && store_list(s, "account", count_record, &accounts, &err))
		return report_unreachable(&err);
	if (!exists && !accounts)
		return EXIT_DONE;
	log_err("mesh/default: share_slots: %" PRIu32 ": must stay %" PRIu32 ": %s", requested,
		in_force,
		exists ? "it cannot be changed once mesh/default exists"
		       : "there are accounts already");
	return EXIT_INVALID;
}

/* Sets *rev to the revision that a write replaces, 0 if the record must not exist. */
static int resolve_rev(const struct store *s, const struct write_options *opts, const char *kind,
		       const char *name, uint64_t *rev)
{
	struct br_error err = {0};
	struct store_value current;

	*rev = opts->has_rev ? opts->rev : 0;
	if (opts->has_rev || opts->must_be_new)
		return EXIT_DONE;
	if (store_get(s, kind, name, &current, &err))
		return report_unreachable(&err);
	*rev = current.mod_rev;
	free(current.value);
	return EXIT_DONE;
}

/* Prints or logs the result of a write and returns the exit status. */
static int report_write(enum store_result res, const char *kind, const char *name, uint64_t rev,
			bool withdrawn, const struct br_error *err)
{
	switch (res) {
	case STORE_DONE:
		if (withdrawn)
			printf("%s/%s withdrawn\n", kind, name);
		else
			printf("%s/%s revision %" PRIu64 "\n", kind, name, rev);
		return EXIT_DONE;
	case STORE_CONFLICT:
		log_err("%s/%s: conflict: the current revision is %" PRIu64, kind, name, rev);
		return EXIT_CONFLICT;
	case STORE_UNREACHABLE:
		return report_unreachable(err);
	case STORE_REFUSED:
		log_err("%s/%s: %s", kind, name, err->detail);
		return EXIT_INVALID;
	case STORE_UNKNOWN:
		log_err("%s/%s: outcome unknown: %s", kind, name, err->detail);
		return EXIT_UNKNOWN;
	}
	return EXIT_UNKNOWN;
}

/* Checks share_slots and sets opts so that the write replaces the revision that was checked. */
static int check_mesh_write(const struct store *s, const char *json, struct write_options *opts)
{
	uint64_t rev;
	int status = check_share_slots(s, json, &rev);

	if (status)
		return status;
	if ((opts->has_rev && opts->rev != rev) || (opts->must_be_new && rev))
		return report_write(STORE_CONFLICT, "mesh", "default", rev, false, NULL);
	opts->has_rev = true;
	opts->rev = rev;
	return EXIT_DONE;
}

static void make_write_id(char out[STORE_WRITE_ID_BYTES])
{
	unsigned char bytes[(STORE_WRITE_ID_BYTES - 1) / 2];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(out, STORE_WRITE_ID_BYTES, bytes, sizeof(bytes));
}

static int put_value(const struct store *s, const struct write_options *opts, const char *kind,
		     const char *name, const char *json)
{
	char write_id[STORE_WRITE_ID_BYTES];
	struct write_options write_opts = *opts;
	struct br_error err = {0};
	uint64_t rev;
	char *value;
	int status = EXIT_DONE;

	if (!strcmp(kind, "key"))
		status = check_account(s, name, json);
	else if (!strcmp(kind, "mesh"))
		status = check_mesh_write(s, json, &write_opts);
	if (!status)
		status = resolve_rev(s, &write_opts, kind, name, &rev);
	if (status)
		return status;
	make_write_id(write_id);
	value = input_with_write_id(json, write_id, &err);
	if (!value || br_record_validate(kind, name, value, &err)) {
		log_err("%s", err.detail);
		status = EXIT_INVALID;
	} else {
		enum store_result res = store_put(s, kind, name, value, write_id, &rev, &err);

		status = report_write(res, kind, name, rev, false, &err);
	}
	free(value);
	return status;
}

int command_put(const struct store *s, const struct write_options *opts, const char *kind,
		const char *name, const char *path)
{
	char *json = read_record(kind, name, path);
	int status;

	if (!json)
		return EXIT_INVALID;
	status = put_value(s, opts, kind, name, json);
	free(json);
	return status;
}

int command_get(const struct store *s, const char *kind, const char *name)
{
	struct br_error err = {0};
	struct store_value current;

	if (store_get(s, kind, name, &current, &err))
		return report_unreachable(&err);
	if (!current.value) {
		log_err("%s/%s: no such record", kind, name);
		return EXIT_ABSENT;
	}
	printf("// revision %" PRIu64 "\n%s\n", current.mod_rev, current.value);
	free(current.value);
	return EXIT_DONE;
}

static void print_record(const char *key, uint64_t mod_rev, const char *value, void *arg)
{
	(void)value;
	(void)arg;
	printf("%s %" PRIu64 "\n", key + strlen(STORE_PREFIX), mod_rev);
}

int command_list(const struct store *s, const char *kind)
{
	struct br_error err = {0};

	if (store_list(s, kind, print_record, NULL, &err))
		return report_unreachable(&err);
	return EXIT_DONE;
}

/* Logs a warning if a key record names the account in arg, which is about to be withdrawn. */
static void warn_unusable_key(const char *key, uint64_t mod_rev, const char *value, void *arg)
{
	const char *account = arg;
	char key_account[BR_NAME_BYTES];

	(void)mod_rev;
	input_copy_string_member(value, "account", key_account, sizeof(key_account));
	if (!strcmp(key_account, account))
		log_warn("%s: requests with this key will be refused without account %s",
			 key + strlen(STORE_PREFIX), account);
}

int command_withdraw(const struct store *s, const struct write_options *opts, const char *kind,
		     const char *name)
{
	struct write_options write_opts = *opts;
	struct br_error err = {0};
	enum store_result res;
	uint64_t rev;
	int status = EXIT_DONE;

	if (!strcmp(kind, "mesh") && !strcmp(name, "default"))
		status = check_mesh_write(s, NULL, &write_opts);
	if (!status)
		status = resolve_rev(s, &write_opts, kind, name, &rev);
	if (status)
		return status;
	if (!rev) {
		log_err("%s/%s: no such record", kind, name);
		return EXIT_ABSENT;
	}
	if (!strcmp(kind, "account") && store_list(s, "key", warn_unusable_key, (void *)name, &err))
		return report_unreachable(&err);
	res = store_delete(s, kind, name, &rev, &err);
	return report_write(res, kind, name, rev, true, &err);
}

int command_key_hash(void)
{
	unsigned char hash[crypto_hash_sha256_BYTES];
	char hex[2 * crypto_hash_sha256_BYTES + 1];
	char key[KEY_LIMIT_BYTES + 1];
	size_t n = fread(key, 1, sizeof(key), stdin);

	if (n && key[n - 1] == '\n')
		n--;
	if (!n || n >= KEY_LIMIT_BYTES) {
		log_err("standard input: a key must have 1 to %d bytes", KEY_LIMIT_BYTES - 1);
		return EXIT_USAGE;
	}
	crypto_hash_sha256(hash, (const unsigned char *)key, n);
	sodium_memzero(key, sizeof(key));
	puts(sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
	return EXIT_DONE;
}
