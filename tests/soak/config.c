#include "standins/mesh/kv.h"
#include "tests/soak/soak.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct kind_info {
	const char *prefix, *key, *account;
	bool idempotent;
};

static const struct kind_info kinds[KINDS] = {
	[KIND_SAFE] = {"safe", "", "", true},
	[KIND_ONCE] = {"once", "", "", false},
	[KIND_KEYED] = {"keyed", "key-kept", "kept", true},
	[KIND_FLIPPED] = {"flipped", "key-flipped", "flipped", true},
	[KIND_LIMITED] = {"limited", "key-limited", "limited", true},
	[KIND_MOVING] = {"moving", "", "", true},
	[KIND_CHAIN] = {"chain", "", "", true},
	[KIND_CALL] = {"call", "", "", true},
	[KIND_LONG] = {"long", "", "", false},
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t version;
static bool withdrawn, moved;
static uint64_t withdrawn_us, moved_us;
/** The latest configuration as it was written. */
static char *latest;

const char *config_key(enum kind kind)
{
	return kinds[kind].key;
}

const char *config_prefix(enum kind kind)
{
	return kinds[kind].prefix;
}

const char *config_account(enum kind kind)
{
	return kinds[kind].account;
}

bool config_idempotent(enum kind kind)
{
	return kinds[kind].idempotent;
}

static void add_entry(struct json_object *list, const char *kind, const char *name,
		      const char *spec)
{
	struct json_object *o = json_object_new_object(), *meta = json_object_new_object();

	json_object_object_add(meta, "name", json_object_new_string(name));
	json_object_object_add(o, "entryKind", json_object_new_string(kind));
	json_object_object_add(o, "metadata", meta);
	json_object_object_add(o, "specification", json_tokener_parse(spec));
	json_object_array_add(list, o);
}

static const char *service_of(enum kind kind)
{
	switch (kind) {
	case KIND_MOVING:
		return moved ? "svc-b" : "svc-a";
	case KIND_SAFE:
	case KIND_ONCE:
	case KIND_CHAIN:
		return "svc-a";
	default:
		return "svc-b";
	}
}

static void add_kind(struct json_object *list, enum kind kind)
{
	const struct kind_info *k = &kinds[kind];
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"host\":\"h.example\",\"prefix\":\"/%s/"
		 "\",\"kind\":\"%s\",\"timeout\":\"2000ms\","
		 "\"latencyTarget\":\"1000ms\",\"priority\":%d,\"service\":\"%s\",\"attempts\":2,"
		 "\"public\":%s}",
		 k->prefix, k->idempotent ? "safe" : "unsafe", kind % 3, service_of(kind),
		 *k->key ? "false" : "true");
	add_entry(list, "routes", k->prefix, spec);
	if (!*k->key)
		return;
	snprintf(spec, sizeof(spec),
		 "{\"apiKeys\":[%s%s%s],\"priority\":1,\"ratePerS\":%d,\"burst\":%d}",
		 kind == KIND_FLIPPED && withdrawn ? "" : "\"",
		 kind == KIND_FLIPPED && withdrawn ? "" : k->key,
		 kind == KIND_FLIPPED && withdrawn ? "" : "\"",
		 kind == KIND_LIMITED ? LIMITED_RATE : 0, kind == KIND_LIMITED ? LIMITED_BURST : 0);
	add_entry(list, "tenants", k->account, spec);
}

static void publish(void)
{
	static const char service[] = "{\"healthPath\":\"/health\",\"connectionLimit\":200}";
	struct json_object *o = json_object_new_object(), *list = json_object_new_array();
	char text[16];

	version += 3;
	snprintf(text, sizeof(text), "%08x", version);
	json_object_object_add(o, "version", json_object_new_string(text));
	for (int k = 0; k < KINDS; k++)
		add_kind(list, (enum kind)k);
	add_entry(list, "services", "svc-a", service);
	add_entry(list, "services", "svc-b", service);
	add_entry(list, "limits", "limits",
		  "{\"headerBytes\":16384,\"bodyBytes\":1000000,\"headerTimeout\":\"3000ms\","
		  "\"idleTimeout\":\"15000ms\"}");
	json_object_object_add(o, "resources", list);
	free(latest);
	latest = strdup(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	if (!latest)
		abort();
	kv_put("op/config", latest);
}

void config_restore_store(void)
{
	pthread_mutex_lock(&lock);
	if (!kv_restore())
		abort();
	kv_put("op/config", latest);
	pthread_mutex_unlock(&lock);
}

void config_init(void)
{
	pthread_mutex_lock(&lock);
	publish();
	moved_us = now_us();
	pthread_mutex_unlock(&lock);
}

void config_flip_key(void)
{
	pthread_mutex_lock(&lock);
	withdrawn = !withdrawn;
	withdrawn_us = 0;
	publish();
	withdrawn_us = withdrawn ? now_us() : 0;
	pthread_mutex_unlock(&lock);
}

void config_move_route(void)
{
	pthread_mutex_lock(&lock);
	moved = !moved;
	moved_us = now_us() + BR_US_PER_S;
	publish();
	moved_us = now_us();
	pthread_mutex_unlock(&lock);
}

uint64_t config_withdrawn_us(void)
{
	uint64_t at_us;

	pthread_mutex_lock(&lock);
	at_us = withdrawn_us;
	pthread_mutex_unlock(&lock);
	return at_us;
}

const char *config_moving_service(uint64_t *since_us)
{
	const char *service;

	pthread_mutex_lock(&lock);
	service = service_of(KIND_MOVING);
	*since_us = moved_us;
	pthread_mutex_unlock(&lock);
	return service;
}
