#include "common/msgpack_check.h"

#include <stdint.h>

/** Header of one object: its own bytes and what follows it. */
struct header {
	/** Bytes of the header and of a scalar's or string's value. */
	uint64_t bytes;
	/** Objects that follow as elements of a container. */
	uint64_t elements;
};

static uint64_t read_be(const uint8_t *at, size_t n)
{
	uint64_t v = 0;

	for (size_t i = 0; i < n; i++)
		v = v << 8 | at[i];
	return v;
}

/* Reads a header whose type byte is followed by a length of n bytes. Returns false if cut off. */
static bool read_length(const uint8_t *at, size_t left, size_t n, uint64_t *out)
{
	if (left < 1 + n)
		return false;
	*out = read_be(at + 1, n);
	return true;
}

/* Types that the format gives fixed sizes: 0xc0 to 0xdf without strings and containers. */
static uint64_t scalar_bytes(uint8_t type)
{
	static const uint8_t value_bytes[32] = {
		[0x0a] = 4,  [0x0b] = 8,			 /* float */
		[0x0c] = 1,  [0x0d] = 2, [0x0e] = 4, [0x0f] = 8, /* unsigned */
		[0x10] = 1,  [0x11] = 2, [0x12] = 4, [0x13] = 8, /* signed */
		[0x14] = 2,  [0x15] = 3, [0x16] = 5, [0x17] = 9, /* extension of fixed size */
		[0x18] = 17,
	};

	return 1 + value_bytes[type - 0xc0];
}

static bool read_long_header(const uint8_t *at, size_t left, struct header *out)
{
	size_t n;
	uint64_t v;

	switch (at[0]) {
	case 0xc1: /* never used by the format */
		return false;
	case 0xc4: /* binary, by the size of its length */
	case 0xc5:
	case 0xc6:
		n = (size_t)1 << (at[0] - 0xc4);
		break;
	case 0xc7: /* extension: its type takes one byte more */
	case 0xc8:
	case 0xc9:
		n = (size_t)1 << (at[0] - 0xc7);
		if (!read_length(at, left, n, &v))
			return false;
		*out = (struct header){.bytes = 2 + n + v};
		return true;
	case 0xd9: /* string */
	case 0xda:
	case 0xdb:
		n = (size_t)1 << (at[0] - 0xd9);
		break;
	case 0xdc: /* array */
	case 0xdd:
		n = at[0] == 0xdc ? 2 : 4;
		if (!read_length(at, left, n, &v))
			return false;
		*out = (struct header){.bytes = 1 + n, .elements = v};
		return true;
	case 0xde: /* map: a key and a value each */
	case 0xdf:
		n = at[0] == 0xde ? 2 : 4;
		if (!read_length(at, left, n, &v))
			return false;
		*out = (struct header){.bytes = 1 + n, .elements = 2 * v};
		return true;
	default:
		*out = (struct header){.bytes = scalar_bytes(at[0])};
		return true;
	}
	if (!read_length(at, left, n, &v))
		return false;
	*out = (struct header){.bytes = 1 + n + v};
	return true;
}

static bool read_header(const uint8_t *at, size_t left, struct header *out)
{
	uint8_t type = at[0];

	if (type < 0x80 || type >= 0xe0) /* small number */
		*out = (struct header){.bytes = 1};
	else if (type < 0x90) /* small map */
		*out = (struct header){.bytes = 1, .elements = 2 * (uint64_t)(type & 0x0f)};
	else if (type < 0xa0) /* small array */
		*out = (struct header){.bytes = 1, .elements = type & 0x0f};
	else if (type < 0xc0) /* short string */
		*out = (struct header){.bytes = 1 + (uint64_t)(type & 0x1f)};
	else
		return read_long_header(at, left, out);
	return true;
}

bool msgpack_is_complete(const char *bytes, size_t len)
{
	const uint8_t *at = (const uint8_t *)bytes;
	uint64_t expected = 1;
	size_t left = len;

	while (expected) {
		struct header h;

		if (!left || !read_header(at, left, &h) || h.bytes > left)
			return false;
		at += h.bytes;
		left -= (size_t)h.bytes;
		expected += h.elements - 1;
		/* Each object takes at least one byte. */
		if (expected > left)
			return false;
	}
	return !left;
}
