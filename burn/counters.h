/**
 * @file counters.h
 * Parser of the nodes' counters: one line each, name{label="value",...} number.
 */
#ifndef BURN_COUNTERS_H
#define BURN_COUNTERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define COUNTERS_MAX_LABELS 8
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

/** Called for each line that could be read. */
typedef void (*counters_visit)(const struct counter_line *line, void *arg);

/** Reads one line that ends at its terminator or line end; false if it is malformed. */
bool counters_parse_line(const char *text, struct counter_line *out);

/**
 * Reads all lines of a text; empty lines and lines that begin with # are left out. Returns the
 * number of malformed lines.
 */
size_t counters_parse(const char *text, counters_visit visit, void *arg);

/** Value of a label, or "". */
const char *counter_label(const struct counter_line *line, const char *name);

#endif
