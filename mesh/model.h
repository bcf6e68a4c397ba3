/**
 * @file model.h
 * Data model of a mesh node: its settings, the operator's configuration and the reports of its
 * target. The platform folder decodes the platform's messages into these types.
 */
#ifndef MESH_MODEL_H
#define MESH_MODEL_H

#include "briarreel/types.h"

#include <netinet/in.h>

/** Settings of this process; times in milliseconds. */
struct mesh_settings {
	char node[BR_NAME_BYTES];
	char zone[BR_NAME_BYTES];
	/** Service of the target on this VM. */
	char service[BR_NAME_BYTES];
	/** Address to which callers on this VM send requests. */
	struct sockaddr_in caller_addr;
	/** Address to which other nodes send requests for the target of this VM. */
	struct sockaddr_in peer_addr;
	struct sockaddr_in ready_addr;
	/** Address to which the target reports its state. */
	struct sockaddr_in report_addr;
	struct sockaddr_in target_addr;
	struct sockaddr_in store_addr;
	/** First port of the platform's range: UDP port for datagrams to and from the keeper. */
	uint16_t mesh_port;
	/** Last port of the range; metrics are served there. */
	uint16_t metrics_port;
	/** The whole system starts for the first time: no keeper and no members exist yet. */
	bool first_start;
	/** Shortest lifetime of a lease that the store grants. */
	uint64_t lease_min_ms;
	/** A withdrawn key is refused at the latest this long after its withdrawal. */
	uint64_t revocation_ms;
	/** No request reaches a target later than this after its leave call was acknowledged. */
	uint64_t drain_ms;
	/** Time from SIGTERM to SIGKILL. */
	uint64_t grace_ms;
	/** Retries per service: this fraction of its requests, plus budget_slack per window. */
	double budget_ratio;
	uint64_t budget_window_ms;
	uint32_t budget_slack;
	/** Tolerated excess over an account's limit: a fraction of it, and a number per window. */
	double quota_overage_ratio;
	uint32_t quota_slack;
	/** Window over which the excess is judged. */
	uint64_t quota_window_ms;
	/** Memory that the process may use, in megabytes. */
	uint32_t memory_mb;
};

/** One of the services among which a route's requests are split. */
struct mesh_weighted_service {
	uint32_t service;
	/** Proportion of the requests; any number that is not negative. */
	double weight;
};

struct mesh_route {
	char *name, *host, *prefix;
	uint64_t host_hash;
	size_t prefix_len;
	/** Requests may run more than once. */
	bool idempotent;
	/** Requests need no API key. */
	bool open;
	uint8_t priority;
	/** Maximum number of attempts of one request that may reach a target. */
	uint32_t attempts;
	/** Time limit for an answer; 0 for none. */
	uint64_t timeout_ms;
	/** Latency objective: an answer within this time has its full value; 0 if unknown. */
	uint64_t objective_ms;
	struct mesh_weighted_service *weighted_services;
	uint32_t n_weighted_services;
};

struct mesh_service {
	char *name;
	/** Path of the targets' health endpoint; NULL if none is configured. */
	char *health_path;
};

struct mesh_account {
	char *name;
	/** The name can be sent to targets, who get it as the value of a header field. */
	bool is_sendable;
	uint64_t name_hash;
	bool has_priority;
	uint8_t priority;
	/** Requests per second; 0 for no limit. */
	double rate_per_s;
	double burst;
	/** Rate or burst are not numbers, so that nobody knows what the account may use. */
	bool limit_unreadable;
};

struct mesh_key {
	char *text;
	uint32_t account;
};

/** Number of request ranks; rank 0 is the most important. */
#define MESH_RANKS 4
/**
 * Maximum number of pairs of account and route priority; further pairs are ignored and
 * get the rank of a neighbouring pair. If more than MESH_RANKS pairs occur, pairs share ranks.
 */
#define MESH_PRIORITY_PAIRS 64

/** One version of the operator's configuration. Immutable; shared by reference count. */
struct mesh_config {
	uint32_t refs;
	uint64_t version;
	struct mesh_route *routes;
	uint32_t n_routes;
	struct mesh_service *services;
	uint32_t n_services;
	struct mesh_account *accounts;
	uint32_t n_accounts;
	/** Sorted by text. */
	struct mesh_key *keys;
	uint32_t n_keys;
	/** Pairs of account and route priority that occur, the most important first. */
	uint8_t priority_pairs[MESH_PRIORITY_PAIRS];
	uint32_t n_priority_pairs;
	uint32_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_ms, idle_timeout_ms;
};

enum reported_state {
	REPORTED_READY,
	/** The target is about to leave and gets no new work. */
	REPORTED_DRAINING,
};

/** State reported by a target. */
struct target_report {
	char id[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	struct sockaddr_in addr;
	enum reported_state state;
	uint32_t slots;
	/** Remaining time for which the target is slow after its start. */
	uint64_t cold_ms;
	/** Increases with each report of one incarnation. */
	uint64_t sequence;
	/** Start of the incarnation, in milliseconds since the Unix epoch; 0 if unknown. */
	uint64_t incarnation_start_ms;
};

/** Takes a reference and returns c. */
struct mesh_config *mesh_config_ref(struct mesh_config *c);

/** Drops a reference; NULL is allowed. */
void mesh_config_unref(struct mesh_config *c);

/** Sorts and hashes the data that the lookups below use; call once after decoding. */
void mesh_config_index(struct mesh_config *c);

/** Route with the longest prefix for host (a port is ignored) and path, or NULL. */
const struct mesh_route *mesh_config_route(const struct mesh_config *c, const char *host,
					   const char *path);

/**
 * Service for a request of a route, by the weights; point is a random number from 0 up to, but not
 * including, 1. Returns -1 if no service has a weight, so that none gets requests.
 */
int mesh_route_choose_service(const struct mesh_route *r, double point);

/** Index of the account that owns an API key, or -1. */
int mesh_config_account(const struct mesh_config *c, const char *key);

/**
 * Rank of a request, from 0 to MESH_RANKS - 1: by the priority of the account first (NULL for
 * none), then by that of the route.
 */
uint8_t mesh_config_rank(const struct mesh_config *c, const struct mesh_route *route,
			 const struct mesh_account *account);

/** Index of the service with that name, or -1. */
int mesh_config_service(const struct mesh_config *c, const char *name);

/** Parses "ip:port". Returns 0 or -EINVAL. */
int mesh_parse_addr(const char *text, struct sockaddr_in *out);

/** Writes "ip:port". */
void mesh_format_addr(const struct sockaddr_in *addr, char *out, size_t out_bytes);

#endif
