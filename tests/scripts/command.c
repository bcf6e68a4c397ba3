#include "briarreel/types.h"
#include "common/clock.h"
#include "script.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_MS 20

typedef void (*command_fn)(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

struct command {
	const char *name;
	int min_argc;
	command_fn fn;
};

static atomic_uint ctl_serial;

/* The time in limit_s seconds, or the end of the script's time limit if that is earlier. */
static uint64_t deadline_after(const struct script_ctx *ctx, const char *limit_s)
{
	uint64_t deadline_us = clock_now_us() + (uint64_t)(strtod(limit_s, NULL) * BR_US_PER_S);

	return deadline_us < ctx->script->deadline_us ? deadline_us : ctx->script->deadline_us;
}

static void join_words(char **argv, char *dst, size_t bytes)
{
	size_t len = 0;

	dst[0] = '\0';
	for (; *argv && len < bytes; argv++)
		len += (size_t)snprintf(dst + len, bytes - len, "%s%s", len ? " " : "", *argv);
}

static void cmd_port(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)heredoc;
	for (int i = 1; i < argc; i++)
		if (!process_reserve_port(ctx->script, argv[i]))
			script_fail(ctx, "port %s: cannot reserve a port", argv[i]);
}

static void cmd_set(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)argc;
	(void)heredoc;
	script_set_var(ctx->script, argv[1], argv[2], false, -1);
}

static void cmd_file(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char path[256];

	(void)argc;
	snprintf(path, sizeof(path), "%s/%s", ctx->script->dir, argv[1]);
	if (!heredoc || !text_write_file(path, heredoc, strlen(heredoc)))
		script_fail(ctx, "file %s: cannot write the file, or <<END is missing", argv[1]);
}

static void cmd_start(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char out[64];

	(void)argc;
	(void)heredoc;
	snprintf(out, sizeof(out), "%s.out", argv[1]);
	if (!process_start(ctx->script, argv[1], argv[2], argv + 2, out))
		script_fail(ctx, "start %s: cannot start %s, or the process is already running",
			    argv[1], argv[2]);
}

static void print_output(struct script_ctx *ctx, const char *name, const char *regex)
{
	char path[160];
	char *text;
	char *save;

	snprintf(path, sizeof(path), "%s/%s.out", ctx->script->dir, name);
	text = text_read_file(path, NULL);
	for (char *line = text ? strtok_r(text, "\n", &save) : NULL; line;
	     line = strtok_r(NULL, "\n", &save))
		if (!regex || text_matches(line, regex))
			text_printf(&ctx->out, "%s\n", line);
	free(text);
}

static void wait_and_print(struct script_ctx *ctx, const char *name, const char *label,
			   const char *limit_s)
{
	char text[32];
	int status;

	if (!process_wait(ctx->script, name, deadline_after(ctx, limit_s), &status)) {
		script_fail(ctx, "%s: did not end within %s s", name, limit_s);
		return;
	}
	process_status_text(status, text, sizeof(text));
	text_printf(&ctx->out, "%s: %s\n", label, text);
}

static void cmd_run(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	cmd_start(ctx, argc, argv, heredoc);
	if (ctx->script->failed)
		return;
	wait_and_print(ctx, argv[1], argv[1], "600");
	print_output(ctx, argv[1], NULL);
}

static void cmd_ctl(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char name[32];
	char out[64];
	char program[] = "briarreelctl";
	char *args[SCRIPT_MAX_WORDS + 1] = {program};

	(void)heredoc;
	for (int i = 1; i < argc; i++)
		args[i] = argv[i];
	/* Commands may run in parallel, so each process has its own name. */
	snprintf(name, sizeof(name), "ctl%u", ctl_serial++);
	snprintf(out, sizeof(out), "%s.out", name);
	if (!process_start(ctx->script, name, program, args, out)) {
		script_fail(ctx, "ctl: cannot start briarreelctl");
		return;
	}
	wait_and_print(ctx, name, "ctl", "600");
	print_output(ctx, name, NULL);
}

static void cmd_signal(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	static const struct {
		const char *name;
		int sig;
	} signals[] = {{"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP},
		       {"CONT", SIGCONT}, {"INT", SIGINT},   {"HUP", SIGHUP}};

	(void)argc;
	(void)heredoc;
	for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		if (!strcmp(argv[2], signals[i].name) &&
		    process_signal(ctx->script, argv[1], signals[i].sig))
			return;
	script_fail(ctx, "signal %s %s: no such process or signal", argv[1], argv[2]);
}

static void cmd_stop(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)argc;
	(void)heredoc;
	if (!process_signal(ctx->script, argv[1], SIGTERM))
		script_fail(ctx, "stop %s: the process is not running", argv[1]);
	else
		wait_and_print(ctx, argv[1], argv[1], "60");
}

static void cmd_wait(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)heredoc;
	wait_and_print(ctx, argv[1], argv[1], argc > 2 ? argv[2] : "60");
}

static bool evaluate_condition(struct script_ctx *ctx, int argc, char **argv)
{
	bool known;
	bool result = condition_holds(ctx, argc, argv, &known);

	if (!known)
		script_fail(ctx, "%s: unknown condition or wrong number of words", argv[0]);
	return result;
}

static bool wait_until(struct script_ctx *ctx, int argc, char **argv, uint64_t deadline_us)
{
	while (!ctx->script->failed) {
		if (evaluate_condition(ctx, argc, argv))
			return true;
		if (clock_now_us() >= deadline_us)
			return false;
		clock_sleep_ms(POLL_MS);
	}
	return false;
}

static void cmd_until(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char words[512];

	(void)heredoc;
	join_words(argv + 2, words, sizeof(words));
	if (wait_until(ctx, argc - 2, argv + 2, deadline_after(ctx, argv[1])))
		text_printf(&ctx->out, "reached: %s\n", words);
	else
		script_fail(ctx, "not reached within %s s: %s", argv[1], words);
}

static void cmd_wait_http(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char http[] = "http";
	char *args[] = {http, argv[1], argv[2], argv[3], NULL};
	const char *limit_s = argc > 4 ? argv[4] : "60";

	(void)heredoc;
	if (!wait_until(ctx, 4, args, deadline_after(ctx, limit_s)))
		script_fail(ctx, "wait-http %s %s: no status %s within %s s", argv[1], argv[2],
			    argv[3], limit_s);
}

static void cmd_expect(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char words[512];

	(void)heredoc;
	join_words(argv + 1, words, sizeof(words));
	if (evaluate_condition(ctx, argc - 1, argv + 1))
		text_printf(&ctx->out, "holds: %s\n", words);
	else
		script_fail(ctx, "does not hold: %s", words);
}

static void cmd_hold(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	uint64_t end_us = clock_now_us() + strtoul(argv[1], NULL, 10) * BR_US_PER_MS;
	char words[512];

	(void)heredoc;
	join_words(argv + 2, words, sizeof(words));
	do {
		if (!evaluate_condition(ctx, argc - 2, argv + 2)) {
			script_fail(ctx, "did not hold for %s ms: %s", argv[1], words);
			return;
		}
		clock_sleep_ms(POLL_MS);
	} while (clock_now_us() < end_us);
	text_printf(&ctx->out, "held: %s\n", words);
}

static void cmd_request(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)heredoc;
	if (!http_command(ctx, argc, argv, &ctx->out))
		script_fail(ctx, "request: invalid options");
}

/* Sends a request until its result has the status; prints only the last result. */
static void cmd_await(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	uint64_t deadline_us = deadline_after(ctx, argv[1]);
	char status[16];

	(void)heredoc;
	snprintf(status, sizeof(status), "-> %s", argv[2]);
	while (!ctx->script->failed) {
		struct text line = {0};

		if (!http_command(ctx, argc - 3, argv + 3, &line) || !line.data) {
			script_fail(ctx, "await: invalid options");
		} else if (strstr(line.data, status)) {
			text_add(&ctx->out, line.data, line.len);
			free(line.data);
			return;
		} else if (clock_now_us() >= deadline_us) {
			script_fail(ctx, "no status %s within %s s; last result: %s", argv[2],
				    argv[1], line.data);
		}
		free(line.data);
		clock_sleep_ms(POLL_MS);
	}
}

static int compare_lines(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Prints each distinct result and how often it occurred, in alphabetical order. */
static void print_tally(struct script_ctx *ctx, char **lines, size_t n)
{
	qsort(lines, n, sizeof(lines[0]), compare_lines);
	for (size_t i = 0; i < n;) {
		size_t j = i;

		while (j < n && !strcmp(lines[i], lines[j]))
			j++;
		text_printf(&ctx->out, "%zu x %s", j - i, lines[i]);
		i = j;
	}
}

static void cmd_tally(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	size_t n = strtoul(argv[1], NULL, 10);
	char **lines = calloc(n + 1, sizeof(lines[0]));
	size_t done = 0;

	(void)heredoc;
	if (!lines)
		abort();
	while (done < n && !ctx->script->failed && !script_expired(ctx->script)) {
		struct text line = {0};

		if (!http_command(ctx, argc - 2, argv + 2, &line) || !line.data)
			script_fail(ctx, "tally: invalid options");
		else
			lines[done++] = line.data;
	}
	print_tally(ctx, lines, done);
	for (size_t i = 0; i < done; i++)
		free(lines[i]);
	free(lines);
}

static void cmd_counter(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	int status;
	char *body = http_get(argv[1], argc > 3 ? argv[3] : "/briarreel/counters", &status);
	char *save;

	(void)heredoc;
	if (!body)
		script_fail(ctx, "counter %s: no response", argv[1]);
	for (char *line = body ? strtok_r(body, "\n", &save) : NULL; line;
	     line = strtok_r(NULL, "\n", &save))
		if (text_matches(line, argv[2]))
			text_printf(&ctx->out, "%s\n", line);
	free(body);
}

static void cmd_show(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)heredoc;
	print_output(ctx, argv[1], argc > 2 ? argv[2] : NULL);
}

static void cmd_echo(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char words[512];

	(void)argc;
	(void)heredoc;
	join_words(argv + 1, words, sizeof(words));
	text_printf(&ctx->out, "%s\n", words);
}

static void cmd_limit(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	(void)argc;
	(void)heredoc;
	ctx->script->deadline_us = clock_now_us() + strtoul(argv[1], NULL, 10) * BR_US_PER_S;
}

static const struct command commands[] = {
	{"port", 2, cmd_port},
	{"set", 3, cmd_set},
	{"file", 2, cmd_file},
	{"start", 3, cmd_start},
	{"run", 3, cmd_run},
	{"ctl", 1, cmd_ctl},
	{"stop", 2, cmd_stop},
	{"signal", 3, cmd_signal},
	{"wait", 2, cmd_wait},
	{"until", 3, cmd_until},
	{"wait-http", 4, cmd_wait_http},
	{"expect", 2, cmd_expect},
	{"hold", 3, cmd_hold},
	{"request", 4, cmd_request},
	{"tally", 3, cmd_tally},
	{"counter", 3, cmd_counter},
	{"show", 2, cmd_show},
	{"echo", 1, cmd_echo},
	{"limit", 2, cmd_limit},
	{"await", 5, cmd_await},
	{"number", 3, cmd_number},
	{"raw", 4, cmd_raw},
	{"slow", 5, cmd_slow},
};

void command_run(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(argv[0], commands[i].name) != 0)
			continue;
		if (argc < commands[i].min_argc)
			break;
		commands[i].fn(ctx, argc, argv, heredoc);
		return;
	}
	script_fail(ctx, "%s: unknown command or too few words", argv[0]);
}
