/**
 * @file main.c
 * briarreelctl: writes, validates, lists, shows and withdraws configuration records.
 */
#include "briarreel/error.h"
#include "briarreel/version.h"
#include "common/http_client.h"
#include "common/log.h"
#include "common/settings.h"
#include "ctl/commands.h"
#include "ctl/input.h"

#include <errno.h>
#include <popt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "ctl"
#define DEFAULT_TIMEOUT_MS 5000
#define READ_BACK_INTERVAL_MS 200
/* Number of arguments that are read: one more than any command takes, to detect excess ones. */
#define MAX_ARGS 4

static char *platform;
static char *if_rev;
static int must_be_new;
static int timeout_ms = DEFAULT_TIMEOUT_MS;
static int version;

static const struct poptOption options[] = {
	{"platform", 'p', POPT_ARG_STRING, &platform, 0, "address of the platform", "IP:PORT"},
	{"if-rev", 'r', POPT_ARG_STRING, &if_rev, 0,
	 "write only if the record is at revision N (default: its current revision)", "N"},
	{"new", 'n', POPT_ARG_NONE, &must_be_new, 0, "write only if the record does not exist",
	 NULL},
	{"timeout-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &timeout_ms, 0,
	 "timeout of a call to the platform, in milliseconds", "N"},
	{"version", 'V', POPT_ARG_NONE, &version, 0, "print the version", NULL},
	POPT_AUTOHELP POPT_TABLEEND};

enum command {
	PUT,
	GET,
	LIST,
	WITHDRAW,
	VALIDATE,
	KEY_HASH,
	N_COMMANDS,
};

static const struct {
	const char *name;
	int min_args;
	int max_args;
	bool needs_platform;
} commands[N_COMMANDS] = {
	[PUT] = {"put", 3, 3, true},
	[GET] = {"get", 2, 2, true},
	[LIST] = {"list", 0, 1, true},
	[WITHDRAW] = {"withdraw", 2, 2, true},
	[VALIDATE] = {"validate", 3, 3, false},
	[KEY_HASH] = {"key-hash", 0, 0, false},
};

static int usage(poptContext ctx, const char *reason)
{
	log_err("%s", reason);
	poptPrintUsage(ctx, stderr, 0);
	return EXIT_USAGE;
}

static bool read_write_options(struct write_options *opts)
{
	char *end = NULL;

	opts->must_be_new = must_be_new;
	if (!if_rev)
		return true;
	errno = 0;
	opts->has_rev = true;
	opts->rev = strtoull(if_rev, &end, 10);
	return if_rev[0] >= '0' && if_rev[0] <= '9' && !*end && !errno && !must_be_new;
}

static int run(enum command command, const struct store *s, const struct write_options *opts,
	       const char *const *args)
{
	switch (command) {
	case PUT:
		return command_put(s, opts, args[0], args[1], args[2]);
	case GET:
		return command_get(s, args[0], args[1]);
	case LIST:
		return command_list(s, args[0]);
	case WITHDRAW:
		return command_withdraw(s, opts, args[0], args[1]);
	case VALIDATE:
		return command_validate(args[0], args[1], args[2]);
	case KEY_HASH:
		return command_key_hash();
	case N_COMMANDS:
		break;
	}
	return EXIT_USAGE;
}

static int run_command(poptContext ctx, enum command command, const char *const *args, int n_args)
{
	struct write_options opts = {0};
	struct store store = {.platform = platform,
			      .timeout_ms = (uint32_t)timeout_ms,
			      .read_back_interval_ms = READ_BACK_INTERVAL_MS};
	struct http_pool_config cfg = {.max_idle_per_peer = 1,
				       .max_idle_ms = 1000,
				       .connect_timeout_ms = (uint32_t)timeout_ms,
				       .max_body_bytes = 256 * INPUT_MAX_BYTES};
	int status;

	if (n_args < commands[command].min_args || n_args > commands[command].max_args)
		return usage(ctx, "wrong number of arguments");
	if (!read_write_options(&opts))
		return usage(
			ctx,
			"--if-rev must be a revision number and cannot be combined with --new");
	if (commands[command].needs_platform && (!platform || !settings_is_address(platform)))
		return usage(ctx, "--platform must be an IPv4 address and a port");
	store.pool = http_pool_create(&cfg);
	if (!store.pool)
		return EXIT_UNREACHABLE;
	status = run(command, &store, &opts, args);
	http_pool_destroy(store.pool);
	return status;
}

static int parse_and_run(poptContext ctx)
{
	const char *args[MAX_ARGS] = {0};
	const char *name;
	int n_args = 0;
	int c = poptGetNextOpt(ctx);

	if (c < -1)
		return usage(ctx, poptStrerror(c));
	if (version) {
		printf("briarreelctl %s\n", br_version());
		return EXIT_DONE;
	}
	if (timeout_ms < 1)
		return usage(ctx, "--timeout-ms must be at least 1");
	name = poptGetArg(ctx);
	while (n_args < MAX_ARGS && poptPeekArg(ctx))
		args[n_args++] = poptGetArg(ctx);
	for (int i = 0; name && i < N_COMMANDS; i++)
		if (!strcmp(commands[i].name, name))
			return run_command(ctx, (enum command)i, args, n_args);
	return usage(ctx, name ? "unknown command" : "a command is required");
}

int main(int argc, const char **argv)
{
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int status;

	log_init("briarreelctl", LOG_LEVEL_INFO);
	if (sodium_init() < 0) {
		log_err("cannot initialise libsodium");
		return EXIT_USAGE;
	}
	poptSetOtherOptionHelp(ctx,
			       "[OPTION...] put KIND NAME FILE|- | get KIND NAME | list [KIND] |\n"
			       "        withdraw KIND NAME | validate KIND NAME FILE|- | key-hash");
	status = parse_and_run(ctx);
	poptFreeContext(ctx);
	free(platform);
	free(if_rev);
	return status;
}
