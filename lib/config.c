#include "briarreel/config.h"

#include "briarreel/error.h"
#include "briarreel/record.h"
#include "briarreel/view.h"
#include "lib/config_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct br_config *br_config_create(size_t max_tombstones)
{
	struct br_config *cfg = calloc(1, sizeof(*cfg));

	if (!cfg)
		return NULL;
	cfg->max_tombstones = max_tombstones ? max_tombstones : BR_CONFIG_DEFAULT_MAX_TOMBSTONES;
	cfg->view_stale = true;
	return cfg;
}

static void free_entry(struct config_entry *entry)
{
	br_record_ref_put(entry->record);
	free(entry->value);
	free(entry->reason);
	free(entry);
}

void br_config_destroy(struct br_config *cfg)
{
	if (!cfg)
		return;
	for (size_t i = 0; i < cfg->n; i++)
		free_entry(cfg->entries[i]);
	br_view_put(cfg->view);
	free(cfg->entries);
	free(cfg);
}

size_t config_lower_bound(const struct br_config *cfg, const char *key)
{
	size_t low = 0;
	size_t high = cfg->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(cfg->entries[mid]->key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct config_entry *find_entry(const struct br_config *cfg, const char *key)
{
	size_t pos = config_lower_bound(cfg, key);

	return pos < cfg->n && strcmp(cfg->entries[pos]->key, key) == 0 ? cfg->entries[pos] : NULL;
}

struct br_config_change config_entry_change(const struct config_entry *entry)
{
	return (struct br_config_change){
		.key = entry->key,
		.mod_rev = entry->mod_rev,
		.value = entry->value,
		.len = entry->len,
	};
}

/* Inserts an empty entry. Its revision 0 is lower than that of any change. */
static struct config_entry *insert_entry(struct br_config *cfg, const char *key)
{
	size_t pos = config_lower_bound(cfg, key);
	struct config_entry *entry;

	if (cfg->n == cfg->cap) {
		size_t cap = cfg->cap ? cfg->cap * 2 : 64;
		struct config_entry **entries =
			realloc(cfg->entries, cap * sizeof(struct config_entry *));

		if (!entries)
			return NULL;
		cfg->entries = entries;
		cfg->cap = cap;
	}
	entry = calloc(1, sizeof(*entry) + strlen(key) + 1);
	if (!entry)
		return NULL;
	memcpy(entry->key, key, strlen(key) + 1);
	memmove(cfg->entries + pos + 1, cfg->entries + pos,
		(cfg->n - pos) * sizeof(struct config_entry *));
	cfg->entries[pos] = entry;
	cfg->n++;
	cfg->n_tombstones++;
	return entry;
}

/* Removes the entries for which fn returns true; the order of the others is kept. */
static void remove_entries(struct br_config *cfg,
			   bool (*fn)(const struct config_entry *, const void *), const void *arg)
{
	size_t kept = 0;

	for (size_t i = 0; i < cfg->n; i++) {
		struct config_entry *entry = cfg->entries[i];

		if (!fn(entry, arg)) {
			cfg->entries[kept++] = entry;
			continue;
		}
		if (entry->record)
			cfg->view_stale = true;
		if (!entry->value)
			cfg->n_tombstones--;
		free_entry(entry);
	}
	cfg->n = kept;
}

static bool is_old_tombstone(const struct config_entry *entry, const void *arg)
{
	return !entry->value && entry->mod_rev <= *(const uint64_t *)arg;
}

static int compare_revisions(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Discards the oldest tombstones, a quarter of them at a time, once there are more than
 * max_tombstones. Tombstones above the watermark are kept, because only up to the watermark does
 * a missing key mean that it was deleted.
 */
static void trim_tombstones(struct br_config *cfg)
{
	size_t n_retained = cfg->max_tombstones - cfg->max_tombstones / 4;
	uint64_t *revisions;
	size_t n = 0;
	uint64_t floor;

	if (cfg->n_tombstones <= cfg->max_tombstones)
		return;
	revisions = malloc(cfg->n_tombstones * sizeof(*revisions));
	if (!revisions)
		return;
	for (size_t i = 0; i < cfg->n; i++)
		if (!cfg->entries[i]->value)
			revisions[n++] = cfg->entries[i]->mod_rev;
	BR_INVARIANT(n == cfg->n_tombstones);
	qsort(revisions, n, sizeof(*revisions), compare_revisions);
	floor = revisions[n - n_retained - 1];
	free(revisions);
	if (floor > cfg->watermark)
		floor = cfg->watermark;
	if (floor <= cfg->delta_floor)
		return;
	cfg->delta_floor = floor;
	remove_entries(cfg, is_old_tombstone, &floor);
}

/* New contents of an entry, prepared from a change. */
struct update {
	char *value;
	size_t len;
	struct br_record_ref *record;
	char *reason;
};

/* Parses the record of a change, or sets reason if it is invalid. Returns 0 or -ENOMEM. */
static int parse_change(const struct br_config_change *change, struct update *u,
			struct br_error *err)
{
	const char *slash = strchr(change->key, '/');
	char kind[BR_CONFIG_KEY_BYTES];
	struct br_record record;
	int ret;

	br_copy_text(kind, sizeof(kind), change->key);
	kind[slash ? slash - change->key : (ptrdiff_t)strlen(kind)] = '\0';
	ret = br_record_parse(kind, slash ? slash + 1 : "", change->value, change->len, &record,
			      err);
	if (ret == -ENOMEM)
		return ret;
	if (ret) {
		u->reason = strdup(err->detail);
		return u->reason ? 0 : -ENOMEM;
	}
	u->record = br_record_ref_create(&record);
	return u->record ? 0 : -ENOMEM;
}

static void free_update(struct update *u)
{
	br_record_ref_put(u->record);
	free(u->value);
	free(u->reason);
}

static int prepare_update(const struct br_config_change *change, struct update *u,
			  struct br_error *err)
{
	int ret;

	if (!change->value)
		return 0;
	ret = parse_change(change, u, err);
	if (ret)
		return ret;
	u->len = change->len > BR_RECORD_MAX_BYTES ? 0 : change->len;
	u->value = malloc(u->len + 1);
	if (!u->value)
		return -ENOMEM;
	memcpy(u->value, change->value, u->len);
	u->value[u->len] = '\0';
	return 0;
}

/* Stores an update in an entry; if it was rejected, the last valid record stays in force. */
static enum br_config_result store_update(struct br_config *cfg, struct config_entry *entry,
					  uint64_t mod_rev, struct update *u)
{
	BR_INVARIANT(mod_rev > entry->mod_rev);
	cfg->n_tombstones -= !entry->value;
	cfg->n_tombstones += !u->value;
	free(entry->value);
	free(entry->reason);
	entry->mod_rev = mod_rev;
	entry->value = u->value;
	entry->len = u->len;
	entry->reason = u->reason;
	if (u->reason) {
		cfg->rejected_total++;
		return BR_CONFIG_REJECTED;
	}
	br_record_ref_put(entry->record);
	entry->record = u->record;
	cfg->view_stale = true;
	return BR_CONFIG_ACCEPTED;
}

int br_config_apply(struct br_config *cfg, const struct br_config_change *change,
		    struct br_error *err)
{
	struct br_error local = {0};
	struct update u = {0};
	struct config_entry *entry;
	int ret;

	err = err ? err : &local;
	if (!change->key[0] || strlen(change->key) >= BR_CONFIG_KEY_BYTES || !change->mod_rev)
		return br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL,
				    "%.64s: key is empty or longer than %d bytes, or revision is 0",
				    change->key, BR_CONFIG_KEY_BYTES - 1);
	entry = find_entry(cfg, change->key);
	/* A key without an entry is known to be deleted up to the watermark. */
	if (change->mod_rev <= (entry ? entry->mod_rev : cfg->watermark))
		return BR_CONFIG_UNCHANGED;
	ret = prepare_update(change, &u, err);
	if (!ret && !entry) {
		entry = insert_entry(cfg, change->key);
		ret = entry ? 0 : -ENOMEM;
	}
	if (ret) {
		free_update(&u);
		return br_error_set(err, ret, BR_STEP_STORE, NULL, "out of memory");
	}
	ret = store_update(cfg, entry, change->mod_rev, &u);
	trim_tombstones(cfg);
	return ret;
}

int br_config_delete(struct br_config *cfg, const char *key, uint64_t mod_rev, struct br_error *err)
{
	const struct br_config_change change = {.key = key, .mod_rev = mod_rev};

	return br_config_apply(cfg, &change, err);
}

bool br_config_advance(struct br_config *cfg, uint64_t from_rev, uint64_t to_rev)
{
	if (from_rev > cfg->watermark || to_rev <= cfg->watermark)
		return false;
	cfg->watermark = to_rev;
	trim_tombstones(cfg);
	return true;
}

struct snapshot_keys {
	uint64_t rev;
	char *const *keys;
	size_t n;
};

static int compare_key(const void *key, const void *item)
{
	return strcmp(key, *(char *const *)item);
}

static bool is_missing_from_snapshot(const struct config_entry *entry, const void *arg)
{
	const struct snapshot_keys *s = arg;

	return entry->mod_rev <= s->rev &&
	       (!s->n || !bsearch(entry->key, s->keys, s->n, sizeof(*s->keys), compare_key));
}

void config_complete_snapshot(struct br_config *cfg, uint64_t rev, char *const *keys, size_t n)
{
	const struct snapshot_keys s = {.rev = rev, .keys = keys, .n = n};

	if (rev <= cfg->watermark)
		return;
	remove_entries(cfg, is_missing_from_snapshot, &s);
	cfg->watermark = rev;
	/* Keys were removed without tombstones, so older requesters need a snapshot too. */
	cfg->delta_floor = rev;
	remove_entries(cfg, is_old_tombstone, &rev);
}

uint64_t br_config_watermark(const struct br_config *cfg)
{
	return cfg->watermark;
}

uint64_t br_config_delta_floor(const struct br_config *cfg)
{
	return cfg->delta_floor;
}

bool br_config_get(const struct br_config *cfg, const char *key, struct br_config_change *out)
{
	const struct config_entry *entry = find_entry(cfg, key);

	if (entry)
		*out = config_entry_change(entry);
	return entry != NULL;
}

size_t br_config_count(const struct br_config *cfg)
{
	return cfg->n - cfg->n_tombstones;
}

uint64_t br_config_rejected_total(const struct br_config *cfg)
{
	return cfg->rejected_total;
}

void br_config_rejected_each(const struct br_config *cfg, br_config_rejection_fn fn, void *arg)
{
	for (size_t i = 0; i < cfg->n; i++) {
		const struct config_entry *entry = cfg->entries[i];
		const struct br_config_rejection rejection = {
			.key = entry->key,
			.mod_rev = entry->mod_rev,
			.reason = entry->reason,
		};

		if (entry->reason)
			fn(&rejection, arg);
	}
}

static struct br_view *build_view(const struct br_config *cfg)
{
	struct br_record_ref **records = malloc((cfg->n + 1) * sizeof(struct br_record_ref *));
	struct br_view *view;
	size_t n = 0;

	if (!records)
		return NULL;
	/* Keys are "<kind>/<name>", so the records are grouped by kind and sorted by name. */
	for (size_t i = 0; i < cfg->n; i++)
		if (cfg->entries[i]->record)
			records[n++] = cfg->entries[i]->record;
	view = br_view_build(records, n, cfg->watermark);
	free(records);
	return view;
}

struct br_view *br_config_view(struct br_config *cfg)
{
	if (cfg->view_stale || !cfg->view) {
		struct br_view *view = build_view(cfg);

		if (!view)
			return NULL;
		br_view_put(cfg->view);
		cfg->view = view;
		cfg->view_stale = false;
	}
	br_view_set_watermark(cfg->view, cfg->watermark);
	return br_view_get(cfg->view);
}
