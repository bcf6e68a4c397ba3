/**
 * @file counters.h
 * Parser of the nodes' counters. Each line is one counter: name{label="value",...} number.
 */
#ifndef BURN_COUNTERS_H
#define BURN_COUNTERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of labels of a counter. */
#define COUNTERS_MAX_LABELS 8
/** Size of a name or label value with its terminator. */
#define COUNTERS_TEXT_BYTES 64

struct counter_label {
	char name[COUNTERS_TEXT_BYTES];
	char value[COUNTERS_TEXT_BYTES];
};

struct counter_line {
	char name[COUNTERS_TEXT_BYTES];
	struct counter_label labels[COUNTERS_MAX_LABELS];
	size_t n_labels;
	uint64_t value;
};

/** Called for each valid line; line is valid only during the call. */
typedef void (*counters_visit)(const struct counter_line *line, void *arg);

/** Parses one line, up to a line end or the terminator; false if it is malformed. */
bool counters_parse_line(const char *text, struct counter_line *out);

/**
 * Parses all lines of a text except empty lines and lines that begin with #. Returns the number of
 * malformed lines.
 */
size_t counters_parse(const char *text, counters_visit visit, void *arg);

/** Value of a label, or "" if the counter has no such label. */
const char *counter_label(const struct counter_line *line, const char *name);

#endif
