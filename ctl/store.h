/**
 * @file store.h
 * Records in the platform's key-value service (docs/design.md, sections 2.4 and 4.5).
 */
#ifndef CTL_STORE_H
#define CTL_STORE_H

#include <stddef.h>
#include <stdint.h>

struct br_error;
struct http_pool;

/** Prefix of the keys of configuration records. */
#define STORE_PREFIX "briarreel/config/"
/** Size of a write id with its terminator: 16 random bytes in hexadecimal. */
#define STORE_WRITE_ID_BYTES 33

/** Access to the platform's key-value service. */
struct store {
	struct http_pool *pool;
	/** Address of the platform, "ip:port". */
	const char *platform;
	/** Timeout of a call. */
	uint32_t timeout_ms;
	/** Delay before each attempt to read a record back after a lost answer. */
	uint32_t read_back_interval_ms;
};

/** Result of a write. */
enum store_result {
	STORE_DONE,
	/** The record is at another revision; nothing changed. */
	STORE_CONFLICT,
	/** No connection to the platform; nothing was sent. */
	STORE_UNREACHABLE,
	/** The request is invalid or the platform refused it; nothing changed. */
	STORE_REFUSED,
	/** The answer was lost and reading back did not show whether the write took effect. */
	STORE_UNKNOWN,
};

/** A stored record. The caller frees value; if the record is absent, it is NULL and mod_rev 0. */
struct store_value {
	char *value;
	uint64_t mod_rev;
};

/** Called for each record of a listing; key and value are valid only during the call. */
typedef void (*store_visit)(const char *key, uint64_t mod_rev, const char *value, void *arg);

/**
 * Reads a record. Returns 0, also if it is absent, or a negative error number with err filled
 * (except -ENOMEM).
 */
int store_get(const struct store *s, const char *kind, const char *name, struct store_value *out,
	      struct br_error *err);

/**
 * Visits all records of a kind, or of all kinds if kind is NULL. Returns 0, or a negative error
 * number with err filled; some records may have been visited by then.
 */
int store_list(const struct store *s, const char *kind, store_visit visit, void *arg,
	       struct br_error *err);

/**
 * Writes a record if it is at revision *rev (0: absent). value must contain write_id. After a lost
 * answer the record is read back and its write id compared; the write is not repeated. *rev is set
 * to the record's revision if it is known.
 */
enum store_result store_put(const struct store *s, const char *kind, const char *name,
			    const char *value, const char *write_id, uint64_t *rev,
			    struct br_error *err);

/**
 * Deletes a record if it is at revision *rev. After a lost answer an absent record counts as
 * deleted; otherwise like store_put().
 */
enum store_result store_delete(const struct store *s, const char *kind, const char *name,
			       uint64_t *rev, struct br_error *err);

#endif
