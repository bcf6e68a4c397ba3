/**
 * @file script.h
 * Interpreter of test scripts, whose commands start real processes, send them requests and print
 * the results. tests/scripts/README.md describes the commands.
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

/** Growable string, terminated by NUL; data is NULL until something is added. */
struct text {
	char *data;
	size_t len;
};

struct script_var {
	char name[32];
	char value[256];
	/** Occurrences of the value in the output are replaced by the name. */
	bool masked;
	/** Bound socket that reserves the port of the value, or -1. */
	int reserved_fd;
};

struct script_proc {
	char name[32];
	pid_t pid;
	bool running;
	/** The status needs no report: the script sent SIGKILL, or prints the status itself. */
	bool exit_expected;
	/** Exit status as from waitpid(), once the process has ended. */
	int status;
};

struct script {
	/** Temporary folder, the working directory of the script's processes. */
	char dir[64];
	/** Folder of the programs that the script starts. */
	char build[256];
	/** Lines of the script and of the included file; they point into the texts of both. */
	char **lines;
	size_t n_lines;
	/** Text of the included file, or NULL. */
	char *included;
	/** End of the script's time limit. */
	uint64_t deadline_us;
	/** A command has failed; the remaining ones are skipped. */
	atomic_bool failed;
	/** Protects the variables, the processes and the creation of keepalive_pool. */
	pthread_mutex_t lock;
	struct script_var vars[SCRIPT_MAX_VARS];
	size_t n_vars;
	struct script_proc procs[SCRIPT_MAX_PROCS];
	size_t n_procs;
	/** Connections of "request -k"; NULL until the first one. */
	struct http_pool *keepalive_pool;
};

/** State of one thread of a script: its output and the current round of the innermost "repeat". */
struct script_ctx {
	struct script *script;
	struct text out;
	unsigned int round;
};

/* text.c */
void text_add(struct text *t, const char *data, size_t len);
void text_printf(struct text *t, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/**
 * Reads a file; NULL if it cannot be opened. *len, if len is not NULL, becomes the length of the
 * text. The caller frees the result.
 */
char *text_read_file(const char *path, size_t *len);
bool text_write_file(const char *path, const char *data, size_t len);
/** Replaces $NAME and ${NAME} by the values of variables; the caller frees the result. */
char *text_substitute(struct script_ctx *ctx, const char *line);
/**
 * Replaces the values of masked variables by $NAME, and store revisions by N; the caller frees the
 * result.
 */
char *text_mask(struct script *s, const char *text);
/**
 * Splits line in place into words at white space that is not in single or double quotes. Stores at
 * most max - 1 words, and NULL after the last one; returns the number of words.
 */
int text_split(char *line, char **words, int max);
/** True if the POSIX extended regular expression is valid and matches within a line of text. */
bool text_matches(const char *text, const char *regex);

/* process.c: variables and processes */
/** Value of a variable, or NULL; valid until the variable is set again. */
const char *script_var(struct script *s, const char *name);
/** Sets a variable. See struct script_var for masked and reserved_fd. */
void script_set_var(struct script *s, const char *name, const char *value, bool masked,
		    int reserved_fd);
/** Sets a variable to 127.0.0.1:PORT with a free port, which stays reserved for the script. */
bool process_reserve_port(struct script *s, const char *name);
/**
 * Starts a program of the build folder; argv[0] is set to its path. Standard output goes to
 * stdout_file, standard error to NAME.err. False if the process is running or cannot be started.
 */
bool process_start(struct script *s, const char *name, const char *program, char **argv,
		   const char *stdout_file);
/**
 * Sends a signal; false if there is no such process or it has ended. For SIGSTOP it waits until the
 * process has stopped.
 */
bool process_signal(struct script *s, const char *name, int sig);
/** Waits until the process ends; false at deadline_us. *status is that of waitpid(). */
bool process_wait(struct script *s, const char *name, uint64_t deadline_us, int *status);
bool process_ended(struct script *s, const char *name);
/** Text of an exit status, such as "exit 0" or "signal 9". */
void process_status_text(int status, char *dst, size_t bytes);
/**
 * Ends all processes. Adds to report which of them did not end after SIGTERM or had an unexpected
 * exit status, and their sanitizer reports.
 */
void process_end_all(struct script *s, struct text *report);

/* http.c */
/** Runs the command "request ..." and adds its result to out; false if its options are invalid. */
bool http_command(struct script_ctx *ctx, int argc, char **argv, struct text *out);
/** Body of a GET; NULL, and *status unchanged, if there is no response. The caller frees it. */
char *http_get(const char *address, const char *path, int *status);

/* condition.c */
/**
 * Evaluates the condition in argv. *known becomes false if its name is unknown or it has a wrong
 * number of words.
 */
bool condition_holds(struct script_ctx *ctx, int argc, char **argv, bool *known);

/**
 * Sum of the last words of the lines that match regex, over the bodies of a GET at each address of
 * a comma-separated list; NAN if an address does not respond.
 */
double condition_value(const char *addresses, const char *path, const char *regex);
/** Number at a path such as "streams.0.answered" in a JSON file; NAN if there is none. */
double condition_json(const struct script_ctx *ctx, const char *file, const char *path);

/* number.c */
/** Value of a number or of a variable, with an optional minus; NAN if word is neither. */
double number_eval(struct script *s, const char *word);
void cmd_number(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* raw.c */
void cmd_raw(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);
void cmd_slow(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* command.c */
/** Runs one command; heredoc is the text of its "<<TAG", or NULL. */
void command_run(struct script_ctx *ctx, int argc, char **argv, const char *heredoc);

/* interpreter.c */
/** Runs the script text, which it modifies; the caller frees out->data. */
void script_run(struct script *s, char *text, struct text *out);
/** True once the time limit of the script has passed. */
bool script_expired(const struct script *s);
/** Marks the script as failed and adds the message to the output. */
void script_fail(struct script_ctx *ctx, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
