#include "briarreel/config.h"
#include "lib/config_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a change in a message in addition to its key and value. */
#define CHANGE_OVERHEAD_BYTES 32
/* Index of a request for the first page; the next index wraps to 0. */
#define INDEX_BEFORE_FIRST UINT32_MAX

struct br_config_reader {
	struct br_config *cfg;
	uint64_t transfer_id;
	/* Header of the current page, or of the last one between pages. */
	struct br_config_page page;
	uint32_t next_index;
	uint32_t n_read;
	bool in_page;
	bool complete;
	int error;
	/* Keys of the snapshot read so far. */
	char **keys;
	size_t n_keys;
	size_t cap_keys;
};

bool br_config_delta(const struct br_config *cfg, uint64_t from_rev, br_config_change_fn fn,
		     void *arg)
{
	if (from_rev < cfg->delta_floor)
		return false;
	for (size_t i = 0; i < cfg->n; i++) {
		struct br_config_change change = config_entry_change(cfg->entries[i]);

		if (change.mod_rev > from_rev)
			fn(&change, arg);
	}
	return true;
}

void br_config_page_request(struct br_config_page *page, uint64_t transfer_id, uint64_t from_rev)
{
	*page = (struct br_config_page){
		.transfer_id = transfer_id,
		.from_rev = from_rev,
		.index = INDEX_BEFORE_FIRST,
	};
}

/* Fills the header fields that all pages of a transfer have in common. */
static int start_page(const struct br_config *cfg, const struct br_config_page *request,
		      struct br_config_page *out)
{
	*out = *request;
	out->index++;
	out->n_changes = 0;
	if (request->index == INDEX_BEFORE_FIRST) {
		out->snapshot = request->from_rev < cfg->delta_floor;
		out->from_rev = out->snapshot ? 0 : request->from_rev;
		out->to_rev = cfg->watermark;
		out->last_key[0] = '\0';
		return 0;
	}
	/* A sender that has restarted since may not be complete up to to_rev. */
	if (out->to_rev > cfg->watermark || (!out->snapshot && out->from_rev < cfg->delta_floor))
		return -ESTALE;
	return 0;
}

/*
 * True if a transfer contains the entry. A snapshot includes the tombstones above its revision: the
 * delta that follows it has them as well, but this way the deletions take effect earlier.
 */
static bool is_in_transfer(const struct config_entry *entry, const struct br_config_page *page)
{
	if (page->snapshot)
		return entry->value || entry->mod_rev > page->to_rev;
	return entry->mod_rev > page->from_rev;
}

/* Position of the first entry after the last key of the previous page. */
static size_t first_position(const struct br_config *cfg, const struct br_config_page *request)
{
	size_t pos;

	if (request->index == INDEX_BEFORE_FIRST)
		return 0;
	pos = config_lower_bound(cfg, request->last_key);
	if (pos < cfg->n && strcmp(cfg->entries[pos]->key, request->last_key) == 0)
		pos++;
	return pos;
}

int br_config_page(const struct br_config *cfg, const struct br_config_page *request,
		   size_t max_bytes, br_config_change_fn fn, void *arg, struct br_config_page *out)
{
	struct br_config_page page;
	size_t bytes = 0;
	int ret = start_page(cfg, request, &page);

	if (ret)
		return ret;
	page.last = true;
	for (size_t i = first_position(cfg, request); i < cfg->n; i++) {
		const struct config_entry *entry = cfg->entries[i];
		struct br_config_change change = config_entry_change(entry);

		if (!is_in_transfer(entry, &page))
			continue;
		bytes += strlen(entry->key) + entry->len + CHANGE_OVERHEAD_BYTES;
		if (page.n_changes && bytes > max_bytes) {
			page.last = false;
			break;
		}
		fn(&change, arg);
		page.n_changes++;
		br_copy_text(page.last_key, sizeof(page.last_key), entry->key);
	}
	*out = page;
	return 0;
}

struct br_config_reader *br_config_reader_create(struct br_config *cfg, uint64_t transfer_id)
{
	struct br_config_reader *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->cfg = cfg;
	r->transfer_id = transfer_id;
	return r;
}

void br_config_reader_destroy(struct br_config_reader *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->n_keys; i++)
		free(r->keys[i]);
	free(r->keys);
	free(r);
}

/* Marks the transfer as failed; returns the first error. */
static int fail_transfer(struct br_config_reader *r, int error)
{
	if (!r->error)
		r->error = error;
	return r->error;
}

int br_config_reader_begin(struct br_config_reader *r, const struct br_config_page *page)
{
	if (page->transfer_id != r->transfer_id)
		return -ESTALE;
	if (r->error)
		return r->error;
	if (r->in_page)
		return fail_transfer(r, -EPROTO);
	if (r->complete || page->index < r->next_index)
		return -EALREADY;
	if (page->index > r->next_index)
		return fail_transfer(r, -EPROTO);
	if (page->index && (page->snapshot != r->page.snapshot ||
			    page->from_rev != r->page.from_rev || page->to_rev != r->page.to_rev))
		return fail_transfer(r, -EPROTO);
	r->page = *page;
	r->n_read = 0;
	r->in_page = true;
	return 0;
}

static bool add_snapshot_key(struct br_config_reader *r, const char *key)
{
	char *copy;

	if (r->n_keys == r->cap_keys) {
		size_t cap = r->cap_keys ? r->cap_keys * 2 : 64;
		char **keys = realloc(r->keys, cap * sizeof(*keys));

		if (!keys)
			return false;
		r->keys = keys;
		r->cap_keys = cap;
	}
	copy = strdup(key);
	if (!copy)
		return false;
	r->keys[r->n_keys++] = copy;
	return true;
}

int br_config_reader_change(struct br_config_reader *r, const struct br_config_change *change,
			    struct br_error *err)
{
	int ret;

	if (r->error || !r->in_page)
		return fail_transfer(r, -EPROTO);
	r->n_read++;
	if (r->page.snapshot && !add_snapshot_key(r, change->key))
		return fail_transfer(r, -ENOMEM);
	ret = br_config_apply(r->cfg, change, err);
	if (ret == -ENOMEM)
		return fail_transfer(r, ret);
	return ret;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

int br_config_reader_end(struct br_config_reader *r)
{
	if (r->error)
		return r->error;
	if (!r->in_page || r->n_read != r->page.n_changes)
		return fail_transfer(r, -EPROTO);
	r->in_page = false;
	r->next_index++;
	if (!r->page.last)
		return 0;
	r->complete = true;
	if (r->page.snapshot) {
		if (r->n_keys)
			qsort(r->keys, r->n_keys, sizeof(*r->keys), compare_keys);
		config_complete_snapshot(r->cfg, r->page.to_rev, r->keys, r->n_keys);
	} else {
		br_config_advance(r->cfg, r->page.from_rev, r->page.to_rev);
	}
	return 1;
}
