/**
 * @file settings.h
 * Reads a settings file, JSON with comments, into a struct described by a table of keys. Unknown,
 * repeated, missing and out-of-range keys are errors; the message names the file, the key, the
 * value and the permitted range.
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
	/** Non-empty string in a char array of max bytes, including the terminator. */
	SETTINGS_TEXT,
	/** "ip:port" in a char array of max bytes. */
	SETTINGS_ADDRESS,
	/** Array of "ip:port": struct settings_addresses. */
	SETTINGS_ADDRESSES,
	/** bool. */
	SETTINGS_BOOL,
};

/** Maximum number of addresses of a SETTINGS_ADDRESSES key. */
#define SETTINGS_MAX_ADDRESSES 16
/** Size of an address with its terminator. */
#define SETTINGS_ADDRESS_BYTES 48

/** Value of a SETTINGS_ADDRESSES key. */
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
	/** Range of a SETTINGS_U32 key; max is the array size in bytes of a text or address key. */
	uint32_t min;
	uint32_t max;
	/** Default value of an absent SETTINGS_U32 key. */
	uint32_t fallback;
	bool required;
};

/**
 * Reads the file path into the struct out. An absent key leaves its field unchanged, except that a
 * SETTINGS_U32 field is set to its default. Returns 0 or a negative error number with err filled;
 * err->detail holds "file: key: value: reason". After an error out may be partially filled.
 */
int settings_read(const char *path, const struct settings_key *keys, size_t n_keys, void *out,
		  struct br_error *err);

/** Like settings_read(), but reads text; name is the file name in error messages. */
int settings_parse(const char *name, const char *text, const struct settings_key *keys,
		   size_t n_keys, void *out, struct br_error *err);

/** True if text is an IPv4 address and a port, "1.2.3.4:80". */
bool settings_is_address(const char *text);

#endif
