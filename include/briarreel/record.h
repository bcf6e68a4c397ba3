/**
 * @file record.h
 * Parsing and validation of a single configuration record (JSON). briarreelctl calls it before a
 * write and each node for the records it receives, so both accept the same records.
 */
#ifndef BRIARREEL_RECORD_H
#define BRIARREEL_RECORD_H

#include "briarreel/types.h"

struct br_error;

/** Maximum size of a record's value in bytes. */
#define BR_RECORD_MAX_BYTES (64U * 1024)
/** Size of a path prefix, including the terminator. */
#define BR_PATH_PREFIX_BYTES 256
/** Size of a SHA-256 digest. */
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
	/** Admission rate in milli-tokens per second: 1 (0.001 requests/s) to 1e12. */
	uint64_t rate_mtok_s;
	/** Burst in whole tokens, 1 to 1e9, so that it fits in 64 bits as nano-tokens. */
	uint64_t burst;
	/** Highest priority that the account's requests may have (0 is the highest). */
	uint32_t priority;
	/** Weight of the account's share under overload, 1 to 1000. */
	uint32_t weight;
	/**
	 * Keys are refused while the configuration was last confirmed to be current longer ago than
	 * this; 0: no limit.
	 */
	uint32_t offline_key_ttl_s;
};

struct br_key {
	char account[BR_NAME_BYTES];
	uint8_t sha256[BR_SHA256_BYTES];
	bool withdrawn;
};

struct br_route {
	char service[BR_NAME_BYTES];
	/** Starts with '/'; ends with '/' only if it is "/". */
	char path_prefix[BR_PATH_PREFIX_BYTES];
	/** Bits of enum br_method. */
	uint32_t methods;
	/** Highest priority that a request may have (0 is the highest). */
	uint32_t priority;
	/** Maximum number of retries after the first attempt. */
	uint32_t retry_limit;
	/** Default and upper limit of a request's deadline. */
	uint32_t timeout_ms;
	bool idempotent;
	/** Requests need no key. */
	bool open;
	/** A non-idempotent request needs a request id. */
	bool request_id_required;
};

struct br_zone {
	char region[BR_NAME_BYTES];
};

struct br_mesh {
	/** Number of share slots. */
	uint32_t share_slots;
	/** Term of the rate leases that slot holders grant. */
	uint32_t lease_term_ms;
	/** Time to live of the platform lease of a slot holder. */
	uint32_t autonomy_s;
	/** Time for which a claim of a request id is stored after its last use. */
	uint32_t dedupe_window_s;
};

struct br_retired {
	/** Identifies the process that is declared dead; must be equal, not only lower. */
	uint64_t incarnation;
};

/** A parsed record; kind selects the member of the union. */
struct br_record {
	enum br_record_kind kind;
	uint32_t schema;
	char name[BR_NAME_BYTES];
	/** Value of the optional field write_id; empty if the record has none. */
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

/** Returns the name of a kind as used in keys, such as "account". */
const char *br_record_kind_name(enum br_record_kind kind);

/** Parses the name of a kind; returns false if it is unknown. */
bool br_record_kind_parse(const char *text, enum br_record_kind *kind);

/** Returns true if text is a valid record name: [a-z0-9._:-]{1,63}. */
bool br_record_name_valid(const char *text);

/** Returns the enum br_method bit of an HTTP method, 0 if routes do not support the method. */
uint32_t br_method_parse(const char *text);

/** Fills mesh with the settings that apply while there is no mesh record. */
void br_mesh_defaults(struct br_mesh *mesh);

/**
 * Parses and validates the value of record kind/name, len bytes without a terminator. Returns 0,
 * -ENOMEM, -E2BIG (over BR_RECORD_MAX_BYTES) or -EINVAL; for the last two, err->detail (err may be
 * NULL) is "kind/name: field: value: reason", without the value for some errors and truncated to
 * the size of detail. out is only written on success.
 */
int br_record_parse(const char *kind, const char *name, const char *value, size_t len,
		    struct br_record *out, struct br_error *err);

/** Validates a terminated text; results as br_record_parse(). */
int br_record_validate(const char *kind, const char *name, const char *json, struct br_error *err);

#endif
