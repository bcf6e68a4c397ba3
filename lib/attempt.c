#include "briarreel/attempt.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void br_attempt_id_format(const struct br_attempt_id *id, char *out)
{
	snprintf(out, BR_ATTEMPT_ID_BYTES, "%s/%" PRIu64 "/%" PRIu64, id->entry.text,
		 id->incarnation, id->counter);
}

/*
 * Parses a decimal number that ends at the character end and returns a pointer to that character;
 * NULL for 0, a leading zero, overflow or any other character.
 */
static const char *read_number(const char *p, char end, uint64_t *out)
{
	uint64_t n = 0;

	if (*p < '1' || *p > '9')
		return NULL;
	for (; *p >= '0' && *p <= '9'; p++)
		if (__builtin_mul_overflow(n, 10, &n) ||
		    __builtin_add_overflow(n, (uint64_t)(*p - '0'), &n))
			return NULL;
	*out = n;
	return *p == end ? p : NULL;
}

int br_attempt_id_parse(const char *text, struct br_attempt_id *id)
{
	const char *slash = strchr(text, '/');
	struct br_attempt_id out = {0};
	const char *p;

	if (!slash || slash == text || (size_t)(slash - text) >= sizeof(out.entry.text))
		return -EINVAL;
	memcpy(out.entry.text, text, (size_t)(slash - text));
	p = read_number(slash + 1, '/', &out.incarnation);
	if (!p || !read_number(p + 1, '\0', &out.counter))
		return -EINVAL;
	*id = out;
	return 0;
}

bool br_attempt_same_entry(const struct br_attempt_id *a, const struct br_attempt_id *b)
{
	return a->incarnation == b->incarnation && br_node_id_equal(&a->entry, &b->entry);
}

bool br_attempt_id_equal(const struct br_attempt_id *a, const struct br_attempt_id *b)
{
	return a->counter == b->counter && br_attempt_same_entry(a, b);
}
