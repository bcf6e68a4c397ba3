/**
 * @file event_log.h
 * Structured log: one JSON object a line on standard output.
 *
 * Lines are kept in a bounded buffer and written without blocking. Each kind of event has a rate
 * limit; dropped lines are counted, and those over the limit are logged as a number per kind.
 */
#ifndef MESH_EVENT_LOG_H
#define MESH_EVENT_LOG_H

#include <stdint.h>
#include <uv.h>

enum event_level {
	EVENT_INFO,
	EVENT_WARNING,
	EVENT_ERROR,
};

/** A named value of an event: a text, or a number if text is NULL. */
struct event_field {
	const char *name;
	const char *text;
	int64_t number;
};

#define EVENT_TEXT(n, t) ((struct event_field){.name = (n), .text = (t)})
#define EVENT_NUMBER(n, v) ((struct event_field){.name = (n), .number = (int64_t)(v)})
/** Logs an event of a part of the program; part and event must be string literals. */
#define EVENT(level, part, event, ...)                                           \
	event_log(level, part, event, (const struct event_field[]){__VA_ARGS__}, \
		  sizeof((const struct event_field[]){__VA_ARGS__}) / sizeof(struct event_field))

/**
 * Starts the log and makes standard output non-blocking. The node's name, which must stay valid, is
 * added to each line that is logged afterwards. Earlier lines are written at once.
 */
void event_log_start(uv_loop_t *loop, const char *node);

/** Logs an event with n fields; event is identified by its address for the rate limit. */
void event_log(enum event_level level, const char *part, const char *event,
	       const struct event_field *fields, size_t n);

/** Writes the buffered lines as far as possible without blocking; call before the process exits. */
void event_log_flush(void);

/** Lines dropped since the start. */
uint64_t event_log_dropped(void);

#endif
