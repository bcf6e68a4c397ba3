#include "common/text_file.h"

#include "briarreel/error.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads up to max_bytes + 1 bytes, so that a longer file shows. */
static int read_bytes(FILE *f, char *text, size_t max_bytes, size_t *len)
{
	errno = 0;
	*len = fread(text, 1, max_bytes + 1, f);
	if (ferror(f))
		return errno ? -errno : -EIO;
	if (*len > max_bytes)
		return -EFBIG;
	text[*len] = '\0';
	return memchr(text, '\0', *len) ? -EINVAL : 0;
}

int text_file_read(const char *path, size_t max_bytes, char **text, struct br_error *err)
{
	FILE *f = fopen(path, "re");
	size_t len;
	int rc;

	if (!f)
		return br_error_set(err, -errno, BR_STEP_PARSE, NULL, "%s: %s", path,
				    strerror(errno));
	*text = malloc(max_bytes + 1);
	rc = *text ? read_bytes(f, *text, max_bytes, &len) : -ENOMEM;
	fclose(f);
	if (!rc)
		return 0;
	free(*text);
	*text = NULL;
	if (rc == -EINVAL)
		return br_error_set(err, rc, BR_STEP_PARSE, NULL, "%s: contains a NUL", path);
	if (rc == -EFBIG)
		return br_error_set(err, rc, BR_STEP_PARSE, NULL, "%s: longer than %zu bytes", path,
				    max_bytes);
	return br_error_set(err, rc, BR_STEP_PARSE, NULL, "%s: %s", path, strerror(-rc));
}
