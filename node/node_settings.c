#include "node/node_settings.h"

#include "briarreel/error.h"

#include <errno.h>
#include <string.h>

#define FIELD(name) offsetof(struct node_settings, name)
#define ADDRESS(name, required)                                                        \
	{                                                                              \
#name, SETTINGS_ADDRESS, FIELD(name), 0, BR_NODE_ID_BYTES, 0, required \
	}
#define TEXT(name, required)                                                     \
	{                                                                        \
#name, SETTINGS_TEXT, FIELD(name), 0, BR_NAME_BYTES, 0, required \
	}
#define NUMBER(name, min, max, fallback)                                    \
	{                                                                   \
#name, SETTINGS_U32, FIELD(name), min, max, fallback, false \
	}

static const struct settings_key keys[] = {
	TEXT(zone, true),
	ADDRESS(caller_address, true),
	ADDRESS(peer_address, true),
	ADDRESS(peer_listen_address, false),
	ADDRESS(local_address, true),
	ADDRESS(admin_address, true),
	ADDRESS(control_address, true),
	ADDRESS(platform_address, true),
	{"seeds", SETTINGS_ADDRESSES, FIELD(seeds), 0, 0, 0, false},
	TEXT(mesh_token, true),
	/*
	 * Each keep-alive connection occupies one worker; the largest intended number of
	 * connections is 550. peer_workers must exceed the number of requests running and queued at
	 * the target (queue_max plus twice its slots), so that requests wait in the admission queue
	 * and not for a free worker, where admission would not count them.
	 */
	NUMBER(caller_workers, 4, 2000, 600),
	NUMBER(peer_workers, 4, 2000, 600),
	NUMBER(local_workers, 4, 2000, 200),
	NUMBER(max_body_bytes, 1024, 64U << 20, 4U << 20),
	NUMBER(probe_interval_ms, 50, 10000, 500),
	NUMBER(probe_timeout_ms, 20, 5000, 300),
	NUMBER(suspect_ms, 100, 60000, 2000),
	NUMBER(silence_ms, 50, 25000, 1000),
	NUMBER(rate_wait_ms, 0, 1000, 30),
	NUMBER(connect_timeout_ms, 10, 5000, 300),
	NUMBER(stop_timeout_s, 1, 300, 30),
	NUMBER(warmup_ms, 0, 600000, 5000),
	NUMBER(queue_max, 1, 100000, 256),
	NUMBER(log_level, 3, 7, 6),
};

int node_settings_read(const char *path, struct node_settings *out, struct br_error *err)
{
	memset(out, 0, sizeof(*out));
	return settings_read(path, keys, sizeof(keys) / sizeof(keys[0]), out, err);
}
