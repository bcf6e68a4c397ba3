/**
 * @file event_log.h
 * Structured log: one JSON object a line on standard output.
 *
 * Lines wait in a bounded buffer and are written without blocking. Each kind of event has a rate;
 * what is dropped is counted, and a line says how many of which kind.
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

/** A value of an event: a text, or a number if text is NULL. */
struct event_field {
	const char *name;
	const char *text;
	int64_t number;
};

#define EVENT_TEXT(n, t) ((struct event_field){.name = (n), .text = (t)})
#define EVENT_NUMBER(n, v) ((struct event_field){.name = (n), .number = (int64_t)(v)})
/** Writes an event of a part; part and event are literals. */
#define EVENT(level, part, event, ...)                                           \
	event_log(level, part, event, (const struct event_field[]){__VA_ARGS__}, \
		  sizeof((const struct event_field[]){__VA_ARGS__}) / sizeof(struct event_field))

/** Starts the log; node is added to each line. */
void event_log_start(uv_loop_t *loop, const char *node);

void event_log(enum event_level level, const char *part, const char *event,
	       const struct event_field *fields, size_t n);

/** Writes what is buffered if the reader takes it at once; for the end of the process. */
void event_log_flush(void);

/** Lines dropped since the start. */
uint64_t event_log_dropped(void);

#endif
