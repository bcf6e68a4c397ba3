/**
 * @file claim_page.h
 * Text format of the pages in which a new holder fetches the claims of a released slot.
 *
 * A page consists of the line "slot <slot> <from> <refuse_left_us> <takeover_wall_ms>", one line of
 * br_claim_record_format() for each claim, and the line "more" or "end". A page without the last
 * line is truncated.
 */
#ifndef NODE_CLAIM_PAGE_H
#define NODE_CLAIM_PAGE_H

#include "briarreel/registrar.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Smallest size of a page buffer. */
#define CLAIM_PAGE_MIN_BYTES 1024

/** Fields of the first line. */
struct claim_page_head {
	uint32_t slot;
	/** Number of claims on the preceding pages. */
	uint64_t from;
	struct br_claim_slot state;
};

/** A page that is being written. */
struct claim_page {
	char *text;
	size_t bytes;
	size_t len;
};

/** Starts a page in a buffer of at least CLAIM_PAGE_MIN_BYTES. */
void claim_page_begin(struct claim_page *p, char *text, size_t bytes,
		      const struct claim_page_head *head);

/** True if one more claim of any length fits. */
bool claim_page_has_room(const struct claim_page *p);

/** Appends a claim; requires claim_page_has_room(). */
void claim_page_add(struct claim_page *p, const struct br_claim_record *rec);

/** Writes the final line; last is true if no page follows. */
void claim_page_end(struct claim_page *p, bool last);

/** Called for each parsed claim; a return value other than 0 stops the parser. */
typedef int (*claim_page_fn)(void *arg, const struct br_claim_record *rec);

/** Reads the first line of a page. Returns 0 or -EBADMSG. */
int claim_page_parse_head(const char *text, struct claim_page_head *head);

/**
 * Parses a page and calls fn for each claim. Returns the number of claims and sets *last to true if
 * no page follows. Returns -EBADMSG if the page is malformed or truncated, or the error of fn.
 * After an error the caller must discard the import, because fn may already have received claims.
 */
int64_t claim_page_parse(const char *text, claim_page_fn fn, void *arg, bool *last);

#endif
