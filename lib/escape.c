#include "lib/escape.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>

char *br_escape(char *out, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c <= ' ' || c == '%' || c >= 0x7f)
			out += sprintf(out, "%%%02x", c);
		else
			*out++ = (char)c;
	}
	*out = '\0';
	return out;
}

/* Value of two hexadecimal digits; 0 if they are none. */
static unsigned char decode_digits(const char *digits)
{
	char text[3] = {digits[0], digits[0] ? digits[1] : '\0', '\0'};

	if (!isxdigit((unsigned char)text[0]) || !isxdigit((unsigned char)text[1]))
		return 0;
	return (unsigned char)strtoul(text, NULL, 16);
}

bool br_unescape(char *dst, size_t dst_bytes, const char *word)
{
	size_t n = 0;

	for (; *word; word++) {
		unsigned char c = (unsigned char)*word;

		if (c == '%') {
			c = decode_digits(word + 1);
			if (!c)
				return false;
			word += 2;
		}
		if (n + 1 >= dst_bytes)
			return false;
		dst[n++] = (char)c;
	}
	dst[n] = '\0';
	return n > 0;
}
