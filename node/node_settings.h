/**
 * @file node_settings.h
 * Settings of the node daemon.
 */
#ifndef NODE_NODE_SETTINGS_H
#define NODE_NODE_SETTINGS_H

#include "briarreel/types.h"
#include "common/settings.h"

struct br_error;

/** Values of a settings file; each key has the name of its field. */
struct node_settings {
	char zone[BR_NAME_BYTES];
	char caller_address[BR_NODE_ID_BYTES];
	/** Peer address; also the node's id. */
	char peer_address[BR_NODE_ID_BYTES];
	/** Listening address of the peer port if it differs from peer_address, as with port mapping. */
	char peer_listen_address[BR_NODE_ID_BYTES];
	char local_address[BR_NODE_ID_BYTES];
	char admin_address[BR_NODE_ID_BYTES];
	char control_address[BR_NODE_ID_BYTES];
	char platform_address[BR_NODE_ID_BYTES];
	/** Control addresses of nodes to contact first. */
	struct settings_addresses seeds;
	/** Shared secret of the mesh; requests on the peer port without it are refused. */
	char mesh_token[BR_NAME_BYTES];
	uint32_t caller_workers;
	uint32_t peer_workers;
	uint32_t local_workers;
	uint32_t max_body_bytes;
	uint32_t probe_interval_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspect_ms;
	uint32_t silence_ms;
	uint32_t rate_wait_ms;
	uint32_t connect_timeout_ms;
	uint32_t stop_timeout_s;
	uint32_t warmup_ms;
	uint32_t queue_max;
	uint32_t log_level;
};

/** Reads and checks a settings file. Returns 0 or a negative error number with err filled. */
int node_settings_read(const char *path, struct node_settings *out, struct br_error *err);

#endif
