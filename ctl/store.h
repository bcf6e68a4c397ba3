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

#define STORE_PREFIX "briarreel/config/"
/** Bytes of a write id with its terminator: 16 random bytes in hexadecimal. */
#define STORE_WRITE_ID_BYTES 33

struct store {
	struct http_pool *pool;
	/** Address of the platform, "ip:port". */
	const char *platform;
	uint32_t timeout_ms;
	/** Time between two attempts to read back after a lost answer. */
	uint32_t read_back_ms;
};

/** What became of a write. */
enum store_result {
	STORE_DONE,
	/** The record is at another revision, which is given. */
	STORE_CONFLICT,
	/** Nothing was sent. */
	STORE_UNREACHABLE,
	/** The platform refused the request as malformed; nothing changed. */
	STORE_REFUSED,
	/** The answer was lost and reading back did not show what became of the write. */
	STORE_UNKNOWN,
};

/** A record as stored; value is freed by the caller and NULL if it is absent (mod_rev 0). */
struct store_value {
	char *value;
	uint64_t mod_rev;
};

/** Called for each record of a listing. */
typedef void (*store_visit)(const char *key, uint64_t mod_rev, const char *value, void *arg);

/** Reads a record. Returns 0, also if it is absent, or a negative error number. */
int store_get(const struct store *s, const char *kind, const char *name, struct store_value *out,
	      struct br_error *err);

/** Visits all records of a kind, or of all kinds if kind is NULL. */
int store_list(const struct store *s, const char *kind, store_visit visit, void *arg,
	       struct br_error *err);

/**
 * Writes a record if it is at revision *rev (0: absent). value contains write_id. After a lost
 * answer the record is read back and its write id compared; the write is not repeated. *rev
 * becomes the record's revision as far as it is known.
 */
enum store_result store_put(const struct store *s, const char *kind, const char *name,
			    const char *value, const char *write_id, uint64_t *rev,
			    struct br_error *err);

/** Deletes a record if it is at revision *rev; otherwise as store_put(). */
enum store_result store_delete(const struct store *s, const char *kind, const char *name,
			       uint64_t *rev, struct br_error *err);

#endif
