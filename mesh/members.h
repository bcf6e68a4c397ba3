/**
 * @file members.h
 * The nodes of the mesh and their targets, as recorded by their entries in the store.
 */
#ifndef MESH_MEMBERS_H
#define MESH_MEMBERS_H

#include "mesh/board.h"
#include "mesh/target.h"

/** Prefix of the entries of nodes in the store; the node's name follows. */
#define MEMBERS_PREFIX "mesh/node/"

struct json_object;

struct member {
	char node[BR_NAME_BYTES];
	char zone[BR_NAME_BYTES];
	/** Identifies the member in the balancer: its peer address. */
	struct br_node_id id;
	struct sockaddr_in addr;
	struct target_status target;
	/** Connections to the member's peer port. */
	struct conn_pool *pool;
	uint64_t joined_us;
	/** Time at which the member's entry disappeared, or 0. */
	uint64_t missing_us;
	/** Value of board.view_changes that first includes the member's last change. */
	uint32_t last_change;
	/** Time of the member's last answer that was a refusal or had a status below 500. */
	uint64_t answered_us;
	bool self;
};

struct members *members_create(struct board *board);
void members_destroy(struct members *ms);

/** Appends this node's entry with the given target; stopping marks the target as TARGET_CLOSED. */
void members_write_entry(struct buf *b, const struct mesh_settings *s,
			 const struct target_status *target, bool stopping);

/** The entry of a member as a JSON object, owned by the caller. */
struct json_object *members_entry_json(const struct member *m);

/**
 * Adds or updates a member from its entry. Returns false, and changes nothing, if the entry is not
 * one that a node writes; another writer may leave such entries.
 */
bool members_put(struct members *ms, const char *node, const char *value, size_t len);

/** Marks a member as missing, since its entry has disappeared. */
void members_set_missing(struct members *ms, const char *node);

/** Marks all members as missing whose last members_put() was before since_us. */
void members_set_missing_if_older(struct members *ms, uint64_t since_us);

/**
 * Removes members that have been missing and have not answered for 2 s and to which no connection
 * is open; call about twice a second.
 */
void members_sweep(struct members *ms);

/**
 * Value of board.view_changes that includes the last changes of all members that have been removed.
 */
uint32_t members_forgotten_change(const struct members *ms);

/** Number of members, including this node and missing and superseded members. */
size_t members_count(const struct members *ms);
struct member *members_at(struct members *ms, size_t i);
struct member *members_by_name(struct members *ms, const char *node);
/** Finds a member by the host of its peer address; NULL if there is none. */
struct member *members_by_host(struct members *ms, struct in_addr host);

#endif
