/**
 * @file claim_page.h
 * Pages of text in which the claims of a released slot travel to its new holder.
 *
 * A page is the line "slot <slot> <from> <refuse_left_us> <takeover_wall_ms>", lines of
 * br_claim_record_format(), and the line "more" or "end", without which the page is truncated.
 */
#ifndef NODE_CLAIM_PAGE_H
#define NODE_CLAIM_PAGE_H

#include "briarreel/registrar.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Least size of a page buffer. */
#define CLAIM_PAGE_MIN_BYTES 1024

/** What the first line says. */
struct claim_page_head {
	uint32_t slot;
	/** Number of claims on the pages before. */
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

/** True if any one claim still fits. */
bool claim_page_has_room(const struct claim_page *p);

void claim_page_add(struct claim_page *p, const struct br_claim_record *rec);

/** Writes the last line; last: no page follows. */
void claim_page_end(struct claim_page *p, bool last);

/** Takes a claim of a page; a value other than 0 ends the parsing. */
typedef int (*claim_page_fn)(void *arg, const struct br_claim_record *rec);

/** Reads the first line of a page. Returns 0 or -EBADMSG. */
int claim_page_parse_head(const char *text, struct claim_page_head *head);

/**
 * Reads a page and calls fn for each claim. Returns their number, with *last telling whether no
 * page follows; -EBADMSG if the page is malformed or truncated; or the error of fn. Claims were
 * passed to fn before an error was found, so the import is then void.
 */
int64_t claim_page_parse(const char *text, claim_page_fn fn, void *arg, bool *last);

#endif
