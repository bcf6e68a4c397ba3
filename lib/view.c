#include "briarreel/view.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct br_record_ref {
	atomic_uint refs;
	struct br_record record;
};

/* The key of one digest; withdrawn is set if any key record with the digest is withdrawn. */
struct key_entry {
	const struct br_record *key;
	const struct br_record *account;
	bool withdrawn;
};

/* Records of one kind, sorted by name. */
struct kind_range {
	const struct br_record *const *first;
	size_t n;
};

struct br_view {
	atomic_uint refs;
	_Atomic uint64_t watermark;
	struct br_record_ref **record_refs;
	const struct br_record **records;
	size_t n;
	struct kind_range kinds[BR_RECORD_KINDS];
	/* Open-addressing hash tables; their size is a power of two, and at most half is used. */
	struct key_entry *keys;
	size_t key_mask;
	const struct br_record **routes;
	size_t route_mask;
	struct br_mesh mesh;
};

struct br_record_ref *br_record_ref_create(const struct br_record *record)
{
	struct br_record_ref *ref = malloc(sizeof(*ref));

	if (!ref)
		return NULL;
	atomic_init(&ref->refs, 1);
	ref->record = *record;
	return ref;
}

const struct br_record *br_record_ref_record(const struct br_record_ref *ref)
{
	return &ref->record;
}

void br_record_ref_put(struct br_record_ref *ref)
{
	if (ref && atomic_fetch_sub_explicit(&ref->refs, 1, memory_order_acq_rel) == 1)
		free(ref);
}

static size_t table_size(size_t n)
{
	size_t size = 8;

	while (size < 2 * n)
		size *= 2;
	return size;
}

static size_t digest_hash(const uint8_t sha256[BR_SHA256_BYTES])
{
	uint64_t h;

	memcpy(&h, sha256, sizeof(h));
	return (size_t)h;
}

static void insert_key(struct br_view *v, const struct br_record *key)
{
	const struct br_record *account = br_view_account(v, key->key.account);
	size_t i = digest_hash(key->key.sha256) & v->key_mask;

	if (!account && !key->key.withdrawn)
		return;
	while (v->keys[i].key &&
	       memcmp(v->keys[i].key->key.sha256, key->key.sha256, BR_SHA256_BYTES) != 0)
		i = (i + 1) & v->key_mask;
	if (!v->keys[i].key) {
		v->keys[i].key = key;
		v->keys[i].account = account;
	}
	v->keys[i].withdrawn |= key->key.withdrawn;
}

static void insert_route(struct br_view *v, const struct br_record *route)
{
	size_t i = (size_t)br_hash_str(route->route.path_prefix, 0) & v->route_mask;

	while (v->routes[i])
		i = (i + 1) & v->route_mask;
	v->routes[i] = route;
}

/* Takes references to records grouped by kind and fills records and kinds. */
static void index_kinds(struct br_view *v, struct br_record_ref *const *records)
{
	for (size_t i = 0; i < v->n; i++) {
		struct kind_range *range;

		atomic_fetch_add_explicit(&records[i]->refs, 1, memory_order_relaxed);
		v->record_refs[i] = records[i];
		v->records[i] = &records[i]->record;
		range = &v->kinds[v->records[i]->kind];
		if (!range->n)
			range->first = &v->records[i];
		BR_INVARIANT(range->first + range->n == &v->records[i]);
		range->n++;
	}
}

static bool index_tables(struct br_view *v)
{
	const struct kind_range *keys = &v->kinds[BR_RECORD_KEY];
	const struct kind_range *routes = &v->kinds[BR_RECORD_ROUTE];

	v->key_mask = table_size(keys->n) - 1;
	v->route_mask = table_size(routes->n) - 1;
	v->keys = calloc(v->key_mask + 1, sizeof(*v->keys));
	v->routes = calloc(v->route_mask + 1, sizeof(struct br_record *));
	if (!v->keys || !v->routes)
		return false;
	for (size_t i = 0; i < keys->n; i++)
		insert_key(v, keys->first[i]);
	for (size_t i = 0; i < routes->n; i++)
		insert_route(v, routes->first[i]);
	return true;
}

struct br_view *br_view_build(struct br_record_ref *const *records, size_t n, uint64_t watermark)
{
	struct br_view *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	atomic_init(&v->refs, 1);
	atomic_init(&v->watermark, watermark);
	v->record_refs = calloc(n + 1, sizeof(struct br_record_ref *));
	v->records = calloc(n + 1, sizeof(struct br_record *));
	if (!v->record_refs || !v->records) {
		br_view_put(v);
		return NULL;
	}
	v->n = n;
	index_kinds(v, records);
	br_mesh_defaults(&v->mesh);
	if (v->kinds[BR_RECORD_MESH].n)
		v->mesh = v->kinds[BR_RECORD_MESH].first[0]->mesh;
	if (!index_tables(v)) {
		br_view_put(v);
		return NULL;
	}
	return v;
}

struct br_view *br_view_get(struct br_view *view)
{
	atomic_fetch_add_explicit(&view->refs, 1, memory_order_relaxed);
	return view;
}

void br_view_put(struct br_view *view)
{
	if (!view || atomic_fetch_sub_explicit(&view->refs, 1, memory_order_acq_rel) != 1)
		return;
	for (size_t i = 0; i < view->n; i++)
		br_record_ref_put(view->record_refs[i]);
	free(view->record_refs);
	free(view->records);
	free(view->keys);
	free(view->routes);
	free(view);
}

uint64_t br_view_watermark(const struct br_view *view)
{
	return atomic_load_explicit(&view->watermark, memory_order_relaxed);
}

void br_view_set_watermark(struct br_view *view, uint64_t watermark)
{
	atomic_store_explicit(&view->watermark, watermark, memory_order_relaxed);
}

bool br_view_find_key(const struct br_view *view, const uint8_t sha256[BR_SHA256_BYTES],
		      struct br_view_key *out)
{
	size_t i = digest_hash(sha256) & view->key_mask;

	for (; view->keys[i].key; i = (i + 1) & view->key_mask) {
		const struct key_entry *entry = &view->keys[i];

		if (memcmp(entry->key->key.sha256, sha256, BR_SHA256_BYTES) != 0)
			continue;
		if (entry->withdrawn || !entry->account)
			return false;
		*out = (struct br_view_key){.key = entry->key, .account = entry->account};
		return true;
	}
	return false;
}

/* Length of a '.' at text, plain or percent-encoded; 0 if there is none. */
static size_t dot_len(const char *text)
{
	if (text[0] == '.')
		return 1;
	return strncasecmp(text, "%2e", 3) == 0 ? 3 : 0;
}

/* Length of a '/' at text, plain or percent-encoded; 0 if there is none. */
static size_t slash_len(const char *text)
{
	if (text[0] == '/')
		return 1;
	return strncasecmp(text, "%2f", 3) == 0 ? 3 : 0;
}

static bool has_dot_segment(const char *path, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		size_t slash = slash_len(path + i);
		size_t pos = i + slash;
		size_t dot;

		if (!slash)
			continue;
		dot = dot_len(path + pos);
		if (!dot)
			continue;
		pos += dot;
		pos += dot_len(path + pos);
		if (pos >= len || slash_len(path + pos))
			return true;
	}
	return false;
}

static const struct br_record *find_route_by_prefix(const struct br_view *v, const char *path,
						    size_t len, uint32_t method)
{
	size_t i = (size_t)br_hash64(path, len, 0) & v->route_mask;

	for (; v->routes[i]; i = (i + 1) & v->route_mask) {
		const struct br_route *route = &v->routes[i]->route;

		if ((route->methods & method) && strncmp(route->path_prefix, path, len) == 0 &&
		    !route->path_prefix[len])
			return v->routes[i];
	}
	return NULL;
}

const struct br_record *br_view_find_route(const struct br_view *view, const char *method,
					   const char *path)
{
	uint32_t bit = br_method_parse(method);
	size_t len = strcspn(path, "?#");

	if (!bit || path[0] != '/' || has_dot_segment(path, len))
		return NULL;
	for (size_t end = len; end > 0; end--) {
		const struct br_record *route;

		if (end >= BR_PATH_PREFIX_BYTES || (end != len && path[end] != '/'))
			continue;
		route = find_route_by_prefix(view, path, end, bit);
		if (route)
			return route;
	}
	return find_route_by_prefix(view, "/", 1, bit);
}

/* Finds a record by kind and name. */
static const struct br_record *find_record(const struct br_view *v, enum br_record_kind kind,
					   const char *name)
{
	const struct kind_range *range = &v->kinds[kind];
	size_t low = 0;
	size_t high = range->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int order = strcmp(name, range->first[mid]->name);

		if (!order)
			return range->first[mid];
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

const struct br_record *br_view_account(const struct br_view *view, const char *name)
{
	return find_record(view, BR_RECORD_ACCOUNT, name);
}

const struct br_mesh *br_view_mesh(const struct br_view *view)
{
	return &view->mesh;
}

bool br_view_retired(const struct br_view *view, const struct br_node_id *id, uint64_t *incarnation)
{
	const struct br_record *record = find_record(view, BR_RECORD_RETIRED, id->text);

	if (record)
		*incarnation = record->retired.incarnation;
	return record != NULL;
}

const struct br_record *const *br_view_records(const struct br_view *view, enum br_record_kind kind,
					       size_t *n)
{
	*n = view->kinds[kind].n;
	return view->kinds[kind].first;
}
