/**
 * @file script.h
 * Runs scripts of commands over real processes and collects their output. The commands are listed
 * in tests/scripts/README.md.
 */
#ifndef TESTS_SCRIPTS_SCRIPT_H
#define TESTS_SCRIPTS_SCRIPT_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SCRIPT_DIR "tests/scripts"
#define SCRIPT_MAX_WORDS 64
#define SCRIPT_MAX_VARS 128
#define SCRIPT_MAX_PROCS 64

struct http_pool;

/** Text that grows. */
struct text {
	char *data;
	size_t len;
};

struct script_var {
	char name[32];
	char value[256];
	/** Occurrences of the value in the output are replaced by the name. */
	bool masked;
	/** Socket that keeps a port from being chosen by others, or -1. */
	int holder;
};

struct script_proc {
	char name[32];
	pid_t pid;
	bool running;
	/** The script sent SIGKILL, so any exit status is expected. */
	bool killed;
	int status;
};

struct script {
	char dir[64];
	char build[256];
	char **lines;
	size_t n_lines;
	/** Text of the included file, if there is one. */
	char *included;
	uint64_t end_us;
	atomic_bool failed;
	pthread_mutex_t lock;
	struct script_var vars[SCRIPT_MAX_VARS];
	size_t n_vars;
	struct script_proc procs[SCRIPT_MAX_PROCS];
	size_t n_procs;
	/** Kept-alive connections of "request -k". */
	struct http_pool *kept;
};

/** One thread of a script: its output and the number of its present round of "repeat". */
struct script_ctx {
	struct script *script;
	struct text out;
	unsigned int round;
};

/* text.c */
void text_add(struct text *t, const char *data, size_t len);
void text_printf(struct text *t, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
char *text_read_file(const char *path, size_t *len);
bool text_write_file(const char *path, const char *data, size_t len);
/** Replaces $NAME and ${NAME}; the caller frees the result. */
char *text_substitute(struct script_ctx *ctx, const char *line);
/** Replaces values of masked variables by $NAME; the caller frees the result. */
char *text_mask(struct script *s, const char *text);
/** Splits line in place at white space; single and double quotes keep it. Returns the number. */
int text_split(char *line, char **words, int max);
bool text_matches(const char *text, const char *regex);

/* vars and processes: process.c */
const char *script_var(struct script *s, const char *name);
void script_set_var(struct script *s, const char *name, const char *value, bool masked, int holder);
bool process_reserve_port(struct script *s, const char *name);
bool process_start(struct script *s, const char *name, const char *program, char **argv,
		   const char *stdout_file);
/** Sends a signal; false if there is no such process or it has ended. */
bool process_signal(struct script *s, const char *name, int sig);
/** Waits until the process ends or end_us; *status is that of waitpid(). */
bool process_wait(struct script *s, const char *name, uint64_t end_us, int *status);
bool process_ended(struct script *s, const char *name);
/** Text of an exit status, such as "exit 0" or "signal 9". */
void process_status_text(int status, char *dst, size_t bytes);
/** Ends all processes by their pids and reports unexpected exits and sanitizer reports. */
void process_end_all(struct script *s, struct text *report);

/* http.c */
/** The command "request ..."; prints the result, or adds it to line if line is not NULL. */
bool http_command(struct script_ctx *ctx, int argc, char **argv, struct text *out);
/** Body of a GET; NULL if there is no answer. The caller frees it. */
char *http_get(const char *address, const char *path, int *status);

/* condition.c */
/** Evaluates a condition; *known is false if it is not a condition. */
bool condition_holds(struct script_ctx *ctx, int argc, char **argv, bool *known);

/**
 * Sum of the last words of matching lines of a GET at each address of a list with commas; NAN if
 * one does not answer.
 */
double condition_value(const char *addresses, const char *path, const char *regex);
/** Number at a path such as "streams.0.answered" in a JSON file; NAN if there is none. */
double condition_json(const struct script_ctx *ctx, const char *file, const char *path);

/* number.c */
/** Value of a variable or number, with an optional minus; NAN if it is neither. */
double number_of(struct script *s, const char *word);
void cmd_number(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* raw.c */
void cmd_raw(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* command.c */
/** Runs one command line that is already split. */
void command_run(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* interpreter.c */
/** Runs the script text; the output is in ctx->out. */
void script_run(struct script *s, char *text, struct text *out);
bool script_expired(const struct script *s);
void script_fail(struct script_ctx *ctx, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
