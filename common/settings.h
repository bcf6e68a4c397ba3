/**
 * @file settings.h
 * Reads a settings file, JSON with comments, into a struct described by a table. Unknown, repeated,
 * missing and out-of-range keys are errors that name the file, the key, the value and the range.
 */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct br_error;

enum settings_type {
	/** uint32_t in [min, max]. */
	SETTINGS_U32,
	/** char array of max bytes with its terminator. */
	SETTINGS_TEXT,
	/** "ip:port" in a char array of max bytes. */
	SETTINGS_ADDRESS,
	/** Array of "ip:port": struct settings_addresses. */
	SETTINGS_ADDRESSES,
	/** bool. */
	SETTINGS_BOOL,
};

#define SETTINGS_MAX_ADDRESSES 16
#define SETTINGS_ADDRESS_BYTES 48

/** List of addresses. */
struct settings_addresses {
	char text[SETTINGS_MAX_ADDRESSES][SETTINGS_ADDRESS_BYTES];
	uint32_t n;
};

/** One key of a settings file. */
struct settings_key {
	const char *name;
	enum settings_type type;
	/** Offset of the value in the settings struct. */
	size_t offset;
	uint32_t min;
	uint32_t max;
	/** Used for SETTINGS_U32 when the key is absent. */
	uint32_t fallback;
	bool required;
};

/**
 * Reads path into out. Returns 0 or a negative error number with err filled; err->detail holds
 * "file: key: value: reason".
 */
int settings_read(const char *path, const struct settings_key *keys, size_t n_keys, void *out,
		  struct br_error *err);

/** settings_read() on text; name stands for the file in errors. */
int settings_parse(const char *name, const char *text, const struct settings_key *keys,
		   size_t n_keys, void *out, struct br_error *err);

/** True if text is an IPv4 address and a port, "1.2.3.4:80". */
bool settings_is_address(const char *text);

#endif
