/**
 * @file record.h
 * Parsing and validation of single configuration records (JSON). The operators' command calls it
 * before a write and each node calls it for what it receives, so both accept the same records.
 */
#ifndef BRIARREEL_RECORD_H
#define BRIARREEL_RECORD_H

#include "briarreel/types.h"

struct br_error;

/** Largest value of a record in bytes. */
#define BR_RECORD_MAX_BYTES (64U * 1024)
/** Bytes of a path prefix with its terminator. */
#define BR_PATH_PREFIX_BYTES 256
/** Bytes of a SHA-256 digest. */
#define BR_SHA256_BYTES 32

enum br_record_kind {
	BR_RECORD_ACCOUNT,
	BR_RECORD_KEY,
	BR_RECORD_ROUTE,
	BR_RECORD_ZONE,
	BR_RECORD_MESH,
	BR_RECORD_RETIRED,
	BR_RECORD_KINDS,
};

/** Bits of br_route.methods. */
enum br_method {
	BR_METHOD_GET = 1 << 0,
	BR_METHOD_HEAD = 1 << 1,
	BR_METHOD_POST = 1 << 2,
	BR_METHOD_PUT = 1 << 3,
	BR_METHOD_DELETE = 1 << 4,
	BR_METHOD_PATCH = 1 << 5,
	BR_METHOD_OPTIONS = 1 << 6,
};

struct br_account {
	/** 1 (0.001 a second) to 1e12. */
	uint64_t rate_mtok_s;
	/** Whole tokens, 1 to 1e9; times BR_NTOK_PER_TOKEN fits in 64 bits. */
	uint64_t burst;
	/** The most important priority that its requests may have (0 is the highest). */
	uint32_t priority;
	/** Share relative to other accounts under overload, 1 to 1000. */
	uint32_t weight;
	/** Keys are refused once the freshness age exceeds it; 0 means never. */
	uint32_t offline_key_ttl_s;
};

struct br_key {
	char account[BR_NAME_BYTES];
	uint8_t sha256[BR_SHA256_BYTES];
	bool withdrawn;
};

struct br_route {
	char service[BR_NAME_BYTES];
	/** Starts with '/' and does not end with '/' unless it is "/". */
	char path_prefix[BR_PATH_PREFIX_BYTES];
	/** Bits of enum br_method. */
	uint32_t methods;
	uint32_t priority;
	uint32_t retry_limit;
	uint32_t timeout_ms;
	bool idempotent;
	/** No key is needed. */
	bool open;
	/** A non-idempotent request needs a request id. */
	bool identity_required;
};

struct br_zone {
	char region[BR_NAME_BYTES];
};

struct br_mesh {
	uint32_t share_slots;
	uint32_t lease_term_ms;
	uint32_t autonomy_s;
	uint32_t dedupe_window_s;
};

struct br_retired {
	uint64_t incarnation;
};

/** A parsed record: a union tagged by kind. */
struct br_record {
	enum br_record_kind kind;
	uint32_t schema;
	char name[BR_NAME_BYTES];
	/** Empty if the value has none. */
	char write_id[BR_NAME_BYTES];
	union {
		struct br_account account;
		struct br_key key;
		struct br_route route;
		struct br_zone zone;
		struct br_mesh mesh;
		struct br_retired retired;
	};
};

/** Name of a kind as in keys, such as "account". */
const char *br_record_kind_name(enum br_record_kind kind);

/** Finds a kind by its name; returns false if there is none. */
bool br_record_kind_parse(const char *text, enum br_record_kind *kind);

/** True if text is a valid record name: [a-z0-9._:-]{1,63}. */
bool br_record_name_valid(const char *text);

/** Bit of an HTTP method, 0 if routes cannot name it. */
uint32_t br_method_parse(const char *text);

/** Settings that are in force while there is no mesh record. */
void br_mesh_defaults(struct br_mesh *mesh);

/**
 * Parses and validates the value of record kind/name. The value needs no terminator. Returns 0,
 * -ENOMEM, -E2BIG (over BR_RECORD_MAX_BYTES) or -EINVAL; the error's detail is
 * "kind/name: field: value: reason". out is only written on success.
 */
int br_record_parse(const char *kind, const char *name, const char *value, size_t len,
		    struct br_record *out, struct br_error *err);

/** br_record_parse() of a terminated text without keeping the result. */
int br_record_validate(const char *kind, const char *name, const char *json, struct br_error *err);

#endif
